package io.sequoialink.remote;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;
import static org.assertj.core.api.Assertions.assertThatIllegalStateException;

/**
 * Tests of {@link HttpClientPool} and {@link HttpAddress}.
 */
class HttpClientPoolTests {

	@Test
	void keepsABoundedNumberOfClients() {
		HttpClientPool pool = new HttpClientPool(3, Duration.ofMillis(100));
		for (int port = 1; port <= 20; port++) {
			pool.client(new HttpAddress("127.0.0.1", port));
		}
		assertThat(pool.size()).isEqualTo(3);
		assertThat(pool.client(new HttpAddress("127.0.0.1", 20)))
			.isSameAs(pool.client(HttpAddress.parse("127.0.0.1:20")));
		pool.close();
		assertThat(pool.size()).isZero();
		assertThatIllegalStateException().isThrownBy(() -> pool.client(new HttpAddress("127.0.0.1", 1)));
	}

	@ParameterizedTest
	@ValueSource(strings = { "127.0.0.1:8080", "[::1]:80", "[fd00::1:2]:65535" })
	void numericAddressIsAccepted(String text) {
		assertThat(HttpAddress.parse(text)).hasToString(text);
		assertThat(HttpAddress.parse(text).socketAddress().isUnresolved()).isFalse();
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", ":80",
			"127.0.0.1:x", "example.org:80" })
	void otherAddressIsRefusedWithoutALookUp(String text) {
		assertThatIllegalArgumentException().isThrownBy(() -> HttpAddress.parse(text));
	}

}
