package io.sequoialink.gateway.crash;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import io.sequoialink.decision.crash.CrashVerdict;
import io.sequoialink.gateway.feed.StoreFailure;
import io.sequoialink.gateway.feed.StoreReply;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.slf4j.LoggerFactory;

import static org.assertj.core.api.Assertions.assertThat;

class CrashCoordinatorTests {

	private static final long FINGERPRINT = 7;

	private final List<HostCrashReport> written = new ArrayList<>();

	private final List<Consumer<StoreReply<Long>>> replies = new ArrayList<>();

	private final Deque<Runnable> scheduled = new ArrayDeque<>();

	private long now = 1;

	private int polls;

	private final CrashCoordinator coordinator = coordinator("h1");

	private CrashCoordinator coordinator(String host) {
		return new CrashCoordinator(host, this::write, (work, millis) -> this.scheduled.add(work), () -> this.now,
				() -> this.polls++);
	}

	private void write(HostCrashReport crashes, Consumer<StoreReply<Long>> reply) {
		this.written.add(crashes);
		this.replies.add(reply);
	}

	private void crash(long atMillis) {
		this.now = TimeUnit.MILLISECONDS.toNanos(atMillis);
		this.coordinator.serverCrashed(FINGERPRINT, "i-" + atMillis, this.now, this.now);
	}

	private boolean blocked() {
		return this.coordinator.verdict(FINGERPRINT) == CrashVerdict.BLOCKED;
	}

	private void runScheduled() {
		List<Runnable> due = List.copyOf(this.scheduled);
		this.scheduled.clear();
		due.forEach(Runnable::run);
	}

	@Test
	void crashesWithinAShortTimeArePublishedInOneRecord() {
		this.coordinator.serverCrashed(1, "i-1", 0, 10);
		this.coordinator.serverCrashed(2, "i-1", 0, 10);
		runScheduled();
		assertThat(this.written).hasSize(1);
		assertThat(this.written.get(0).suspects()).extracting(FingerprintCrashes::fingerprint)
			.containsExactlyInAnyOrder(1L, 2L);
	}

	@Test
	void aSuspicionRefutedByAResponseIsNotPublished() {
		crash(10);
		this.coordinator.responseCompleted(FINGERPRINT);
		runScheduled();
		assertThat(this.written).isEmpty();
		assertThat(this.coordinator.anySuspects()).isFalse();
	}

	@Test
	void aResponseThatRefutesAPublishedSuspicionIsPublishedAndEndsItOnOtherHosts() {
		crash(10);
		runScheduled();
		CrashCoordinator other = coordinator("h2");
		other.reportRead(this.written.get(0));
		assertThat(other.crashes(FINGERPRINT)).isEqualTo(1);
		this.coordinator.responseCompleted(FINGERPRINT);
		runScheduled();
		assertThat(this.written).hasSize(2);
		assertThat(this.written.get(1).suspects()).isEmpty();
		other.reportRead(this.written.get(1));
		assertThat(other.anySuspects()).isFalse();
	}

	@Test
	void aResponseForAFingerprintThatAnotherHostSuspectsEndsItsSuspicion() {
		crash(10);
		runScheduled();
		CrashCoordinator other = coordinator("h2");
		other.reportRead(this.written.get(0));
		this.now += 1;
		other.responseCompleted(FINGERPRINT);
		runScheduled();
		this.coordinator.reportRead(this.written.get(1));
		assertThat(this.coordinator.anySuspects()).isFalse();
	}

	// In a soak test, the poll for other hosts' reports had been sent while the store was
	// disturbed and returned nothing for 20 s; the host went on sending requests that
	// other hosts had blocked.
	@Test
	void aHostThatObservedCrashesPollsTheReportsOfOthersOnce() {
		crash(10);
		crash(20);
		runScheduled();
		assertThat(this.polls).isEqualTo(1);
		assertThat(this.coordinator.pollsFrequently()).isTrue();
		crash(20 + CrashCoordinator.FREQUENT_POLL_MILLIS + 1);
		runScheduled();
		assertThat(this.polls).isEqualTo(2);
		this.now += TimeUnit.MILLISECONDS.toNanos(CrashCoordinator.FREQUENT_POLL_MILLIS);
		assertThat(this.coordinator.pollsFrequently()).isFalse();
	}

	// A host that starts scheduled polls the newest record of every host, including hosts
	// that have published nothing since.
	@Test
	void aHostWhoseSuspicionAnotherHostEndedWithdrawsItsPublishedReport() {
		crash(10);
		runScheduled();
		CrashCoordinator other = coordinator("h2");
		other.reportRead(this.written.get(0));
		this.now += 1;
		other.responseCompleted(FINGERPRINT);
		runScheduled();
		this.coordinator.reportRead(this.written.get(1));
		runScheduled();
		assertThat(this.written).hasSize(3);
		assertThat(this.written.get(2).host()).isEqualTo("h1");
		assertThat(this.written.get(2).suspects()).isEmpty();
	}

	@Test
	void eachChangeOfAVerdictIsLoggedOnceIncludingThoseCausedByTime() {
		ListAppender<ILoggingEvent> lines = new ListAppender<>();
		Logger logger = (Logger) LoggerFactory.getLogger(CrashCoordinator.class);
		logger.addAppender(lines);
		lines.start();
		crash(10);
		crash(20);
		crash(30);
		this.coordinator.tick();
		this.now += TimeUnit.SECONDS.toNanos(2);
		this.coordinator.tick();
		this.coordinator.tick();
		this.coordinator.responseCompleted(FINGERPRINT);
		logger.detachAppender(lines);
		assertThat(lines.list).extracting(ILoggingEvent::getFormattedMessage)
			.filteredOn((line) -> line.startsWith("SL-3402"))
			.satisfiesExactly((line) -> assertThat(line).contains("is HELD now: 3 crashes known"),
					(line) -> assertThat(line).contains("is BLOCKED now"),
					(line) -> assertThat(line).contains("is FREE now"));
	}

	@Test
	void aFailedWriteIsRepeated() {
		crash(10);
		runScheduled();
		this.replies.get(0).accept(StoreReply.failed(new StoreFailure(StoreFailure.Kind.REFUSED, "down")));
		runScheduled();
		assertThat(this.written).hasSize(2);
	}

	@ParameterizedTest
	@CsvSource({ "599, true", "601, false" })
	void aFingerprintIsBlockedUntilTenMinutesAfterItsLastCrashWithoutAnyNewReport(long seconds, boolean blocked) {
		crash(10);
		crash(20);
		crash(30);
		assertThat(this.coordinator.verdict(FINGERPRINT)).isEqualTo(CrashVerdict.HELD);
		this.now += TimeUnit.SECONDS.toNanos(seconds);
		this.coordinator.tick();
		assertThat(blocked()).isEqualTo(blocked);
		assertThat(this.coordinator.anySuspects()).isEqualTo(blocked);
	}

	@Test
	void theNumberOfPublishedFingerprintsIsLimitedToThoseWithMostCrashes() {
		for (int fingerprint = 100; fingerprint < 400; fingerprint++) {
			this.coordinator.serverCrashed(fingerprint, "i-1", 0, 10);
		}
		this.coordinator.serverCrashed(250, "i-2", 20, 30);
		runScheduled();
		assertThat(this.written.get(0).suspects()).hasSize(64);
		assertThat(this.written.get(0).suspects().get(0).fingerprint()).isEqualTo(250);
	}

}
