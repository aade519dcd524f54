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

	private final SessionTokens old = new SessionTokens("k1", Map.of("k1", new byte[] { 1 }));

	private final SessionTokens rotated = new SessionTokens("k2",
			Map.of("k1", new byte[] { 1 }, "k2", new byte[] { 2 }));

	@Test
	void aRetiredKeyStillOpensItsTokens() {
		assertThat(this.rotated.open(this.old.seal(SESSION))).contains(SESSION);
		assertThat(this.old.open(this.rotated.seal(SESSION))).isEmpty();
	}

	@Property(tries = 300, seed = "1")
	void noChangedTokenIsOpened(@ForAll @IntRange(min = 0, max = 90) int position, @ForAll char replacement) {
		String token = this.rotated.seal(SESSION);
		int at = position % token.length();
		String changed = token.substring(0, at) + replacement + token.substring(at + 1);
		assertThat(this.rotated.open(changed).isPresent()).isEqualTo(changed.equals(token));
	}

	@Property(tries = 300, seed = "2")
	void noArbitraryTextIsOpened(@ForAll String text) {
		assertThat(this.rotated.open(text)).isEmpty();
		assertThat(this.rotated.open("s1~k2~" + text)).isEmpty();
	}

}
