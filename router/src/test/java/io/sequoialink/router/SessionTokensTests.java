package io.sequoialink.router;

import java.util.Map;

import io.sequoialink.model.AccountId;
import io.sequoialink.model.VersionId;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SessionTokensTests {

	private static final SessionTokens.Session SESSION = new SessionTokens.Session("s.1", new AccountId("a-1"),
			new VersionId("v:2"));

	private final SessionTokens beforeRotation = new SessionTokens("k1", Map.of("k1", new byte[] { 1 }));

	private final SessionTokens afterRotation = new SessionTokens("k2",
			Map.of("k1", new byte[] { 1 }, "k2", new byte[] { 2 }));

	@Test
	void verifiesTokensSignedWithRetiredKey() {
		assertThat(this.afterRotation.verify(this.beforeRotation.sign(SESSION))).contains(SESSION);
		assertThat(this.beforeRotation.verify(this.afterRotation.sign(SESSION))).isEmpty();
	}

	@Property(tries = 300, seed = "1")
	void rejectsModifiedToken(@ForAll @IntRange(min = 0, max = 90) int position, @ForAll char replacement) {
		String token = this.afterRotation.sign(SESSION);
		int at = position % token.length();
		String changed = token.substring(0, at) + replacement + token.substring(at + 1);
		assertThat(this.afterRotation.verify(changed).isPresent()).isEqualTo(changed.equals(token));
	}

	@Property(tries = 300, seed = "2")
	void rejectsArbitraryText(@ForAll String text) {
		assertThat(this.afterRotation.verify(text)).isEmpty();
		assertThat(this.afterRotation.verify("s1~k2~" + text)).isEmpty();
	}

}
