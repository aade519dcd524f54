package io.sequoialink.gateway.path;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

import io.sequoialink.gateway.fleet.ServerEntry;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What a host believes of its direct paths, with a clock that the tests set.
 */
class ServicePathsTests {

	private long now = TimeUnit.HOURS.toNanos(1);

	private final ServicePaths paths = new ServicePaths(() -> this.now);

	private static ServerEntry server(String id) {
		return new ServerEntry(id, "svc", new InetSocketAddress(1), "z", "v1", 1, false, 0, 0);
	}

	private void pass(long millis) {
		this.now += TimeUnit.MILLISECONDS.toNanos(millis);
	}

	@Test
	void oneServerThatRefusesHasProbablyEnded() {
		this.paths.failed(server("a"), false);
		this.paths.failed(server("a"), false);
		assertThat(this.paths.suspected("svc")).isFalse();
	}

	@Test
	void twoServersThatRefuseMakeThePathSuspected() {
		this.paths.failed(server("a"), false);
		this.paths.failed(server("b"), false);
		assertThat(this.paths.suspected("svc")).isTrue();
		assertThat(this.paths.silent("svc")).isFalse();
		assertThat(this.paths.broken("svc")).as("refusals cost no time").isFalse();
		assertThat(this.paths.suspected("other")).isFalse();
	}

	@Test
	void refusalsThatLieFarApartDoNot() {
		this.paths.failed(server("a"), false);
		pass(6000);
		this.paths.failed(server("b"), false);
		assertThat(this.paths.suspected("svc")).isFalse();
	}

	@Test
	void oneServerThatDoesNotAnswerMakesThePathSuspectedButNotBroken() {
		this.paths.failed(server("a"), true);
		assertThat(this.paths.suspected("svc")).isTrue();
		assertThat(this.paths.silent("svc")).isTrue();
		assertThat(this.paths.broken("svc")).isFalse();
		this.paths.failed(server("b"), true);
		assertThat(this.paths.broken("svc")).isTrue();
	}

	@Test
	void onlyAConnectThatBeganAfterwardsEndsTheSuspicion() {
		long before = this.now;
		pass(10);
		this.paths.failed(server("a"), true);
		this.paths.connected(server("b"), before);
		assertThat(this.paths.suspected("svc")).isTrue();
		pass(10);
		this.paths.connected(server("b"), this.now);
		assertThat(this.paths.suspected("svc")).isFalse();
		assertThat(this.paths.suspectedCount()).isZero();
	}

	@Test
	void aSuspectedPathIsCheckedAtIntervals() {
		assertThat(this.paths.tryCheck("svc")).as("a whole path").isTrue();
		this.paths.failed(server("a"), true);
		assertThat(this.paths.tryCheck("svc")).isTrue();
		pass(499);
		assertThat(this.paths.tryCheck("svc")).isFalse();
		pass(1);
		assertThat(this.paths.tryCheck("svc")).isTrue();
	}

}
