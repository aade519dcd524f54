package io.sequoialink.gateway.permit;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import io.sequoialink.decision.limits.ColdNotice;
import io.sequoialink.decision.limits.ColdServers;
import io.sequoialink.decision.limits.LimitObservation;
import io.sequoialink.decision.limits.NamedLimit;
import io.sequoialink.decision.limits.PermitDecision;
import io.sequoialink.decision.limits.ServerLimits;
import io.sequoialink.gateway.count.LabelledCounters;
import io.sequoialink.gateway.relay.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * One host that asks others for permits, with the others' answers written by hand.
 */
class FleetPermitsTests {

	private static final long MILLI = 1_000_000L;

	private static final Peer SELF = new Peer("h0", "z", new InetSocketAddress("10.0.0.1", 1000));

	private final List<Peer> others = new ArrayList<>();

	private final List<byte[]> sent = new ArrayList<>();

	private final List<Task> tasks = new ArrayList<>();

	private final List<PermitDecision> decisions = new ArrayList<>();

	private final ServerLimits limits = new ServerLimits();

	private final ColdServers cold = new ColdServers();

	private final LabelledCounters counts = new LabelledCounters("server", "outcome");

	private long now = TimeUnit.SECONDS.toNanos(1000);

	private final FleetPermits permits = new FleetPermits(SELF, () -> this.others, this.limits, this.cold,
			(to, datagram) -> this.sent.add(datagram),
			(work, millis) -> this.tasks.add(new Task(work, this.now + millis * MILLI)), this.counts, Long::toHexString,
			() -> this.now, new SplittableRandom(1));

	private void advance(long millis) {
		for (long end = this.now + millis * MILLI; this.now < end; this.now += MILLI) {
			List<Task> due = this.tasks.stream().filter((task) -> task.atNanos() <= this.now).toList();
			this.tasks.removeAll(due);
			due.forEach((task) -> task.work().run());
		}
	}

	// A server of which this host owns no slice.
	private long serverOfOthers() {
		for (int i = 1; i < 8; i++) {
			this.others.add(new Peer("h" + i, "z", new InetSocketAddress("10.0.0." + (1 + i), 1000)));
		}
		long server = 1;
		while (this.permits.ownsSlice(server)) {
			server++;
		}
		this.limits.observe(server, NamedLimit.of(1), this.now, this.now);
		return server;
	}

	private void acquire(long server) {
		this.permits.acquire(server, 0, this.decisions::add);
	}

	@Test
	void unansweredQuestionIsAskedTwiceAndThenDenied() {
		long server = serverOfOthers();
		acquire(server);
		advance(FleetPermits.ANSWER_MILLIS - 1);
		assertThat(this.sent).hasSize(2);
		assertThat(this.decisions).isEmpty();
		advance(2);
		assertThat(this.decisions).containsExactly(new PermitDecision(false, 0, 0));
	}

	// While the owners are silent, a small share of the limit is used; that its next
	// permit is far off must not be remembered once they answer again.
	@Test
	void ownersAreAskedAgainSoonAfterTheirSilence() {
		long server = serverOfOthers();
		for (int i = 0; i < 40; i++) {
			acquire(server);
			advance(200);
		}
		this.others.forEach(this.permits::heard);
		advance(4000);
		this.sent.clear();
		acquire(server);
		assertThat(this.sent).isNotEmpty();
	}

	@Test
	void noQuestionIsAskedBeforeTheNextPermitCanBeFree() throws Exception {
		long server = serverOfOthers();
		int questions = 0;
		for (int i = 0; i < 20; i++) {
			this.sent.clear();
			acquire(server);
			if (!this.sent.isEmpty()) {
				questions++;
				PermitMessage.Ask ask = (PermitMessage.Ask) PermitFormat.read(this.sent.get(0), this.now);
				Peer owner = this.others.stream().filter((peer) -> answers(peer, ask)).findFirst().orElseThrow();
				assertThat(owner).isNotNull();
			}
			advance(10);
		}
		assertThat(questions).as("one for each slice").isEqualTo(4);
		assertThat(this.permits.earliestNanos(server)).isGreaterThan(9000 * MILLI);
	}

	private boolean answers(Peer peer, PermitMessage.Ask ask) {
		int before = this.decisions.size();
		this.permits.answered(new PermitMessage.Answer(peer.host(), ask.number(),
				new PermitDecision(false, 0, TimeUnit.SECONDS.toNanos(10))));
		return this.decisions.size() > before;
	}

	@Test
	void answerOfAnotherHostThanTheOwnerIsIgnored() throws Exception {
		long server = serverOfOthers();
		acquire(server);
		PermitMessage.Ask ask = (PermitMessage.Ask) PermitFormat.read(this.sent.get(0), this.now);
		this.permits.answered(new PermitMessage.Answer("elsewhere", ask.number(), new PermitDecision(true, 0, 0)));
		assertThat(this.decisions).isEmpty();
	}

	// Asked twice because a datagram was lost or late, it takes one permit.
	@Test
	void repeatedQuestionGetsTheSameAnswer() {
		serverOfOthers();
		long owned = 1;
		while (!this.permits.ownsSlice(owned)) {
			owned++;
		}
		this.limits.observe(owned, NamedLimit.of(1), this.now, this.now);
		advance(60_000);
		for (int slice = 0; slice < 4; slice++) {
			PermitMessage.Ask ask = new PermitMessage.Ask("h1", 7 + slice, owned, slice,
					this.limits.find(owned).orElseThrow(), 0);
			this.sent.clear();
			this.permits.answer(this.others.get(0), ask);
			this.permits.answer(this.others.get(0), ask);
			assertThat(this.sent.get(1)).isEqualTo(this.sent.get(0));
		}
	}

	private long ownedServer() {
		serverOfOthers();
		long owned = 1;
		while (!this.permits.ownsSlice(owned)) {
			owned++;
		}
		return owned;
	}

	private int slice(long server) {
		int slice = 0;
		while (ask(server, slice, 0).nextNanos() == TimeUnit.SECONDS.toNanos(2)) {
			slice++;
		}
		return slice;
	}

	private PermitDecision ask(long server, int slice, int number) {
		this.sent.clear();
		this.permits.answer(this.others.get(0),
				new PermitMessage.Ask("h1", number * 4 + slice, server, slice,
						new LimitObservation(LimitObservation.UNLIMITED, this.now), 0,
						Optional.of(new ColdNotice(12, 4500 * MILLI))));
		try {
			return ((PermitMessage.Answer) PermitFormat.read(this.sent.get(0), this.now)).decision();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	// Guards against an owner that has not heard that a server is cold and grants a
	// permit
	// to each host that asks.
	@Test
	void anOwnerThatKnowsNoLimitAdoptsTheOneOfAQuestion() {
		long server = ownedServer();
		advance(10_000);
		int slice = slice(server);
		int granted = 0;
		for (int number = 1; number <= 100; number++) {
			granted += ask(server, slice, number).granted() ? 1 : 0;
			advance(10);
		}
		assertThat(granted).isBetween(2, 4);
		assertThat(this.permits.limitPerSecond(server)).hasValue(12);
		advance(4500);
		assertThat(this.permits.limited(server)).isFalse();
	}

	// An earlier build drops the question, as any owner that is silent does.
	@Test
	void aQuestionAboutAColdServerTellsRateAndTimeLeft() throws Exception {
		long server = serverOfOthers();
		this.limits.observe(server, NamedLimit.ABSENT, this.now + 1000 * MILLI, this.now + 1000 * MILLI);
		assertThat(this.permits.anyLimited()).isFalse();
		acquire(server);
		assertThat(this.sent).as("no question without a limit").isEmpty();
		this.cold.registered(server, 12, 4500 * MILLI, this.now);
		acquire(server);
		PermitMessage.Ask ask = (PermitMessage.Ask) PermitFormat.read(this.sent.get(0), this.now);
		assertThat(ask.cold()).contains(new ColdNotice(12, 4500 * MILLI));
		advance(1500);
		int granted = 0;
		for (int i = 0; i < 300; i++) {
			this.decisions.clear();
			acquire(server);
			granted += this.decisions.stream().anyMatch(PermitDecision::granted) ? 1 : 0;
			advance(10);
		}
		assertThat(granted).as("a quarter of the limit divided by 8 hosts").isLessThanOrEqualTo(4);
	}

	@ParameterizedTest
	@CsvSource({ "3, 12, 3", "20, 12, 12" })
	void theStricterOneOfNamedAndColdLimitHolds(double named, double coldRate, double expected) {
		this.limits.observe(5, NamedLimit.of(named), this.now, this.now);
		this.cold.registered(5, coldRate, 100 * MILLI, this.now);
		assertThat(this.permits.limitPerSecond(5)).hasValue(expected);
		assertThat(this.permits.turnedColdSince(5, this.now - 1)).isTrue();
		assertThat(this.permits.turnedColdSince(5, this.now)).isFalse();
		advance(100);
		assertThat(this.permits.limitPerSecond(5)).hasValue(named);
		this.cold.registered(5, coldRate, 100 * MILLI, this.now);
		this.limits.observe(5, NamedLimit.ABSENT, this.now + 500 * MILLI, this.now + 500 * MILLI);
		assertThat(this.permits.limitPerSecond(5)).as("no named limit ends no cold time").hasValue(coldRate);
	}

	private record Task(Runnable work, long atNanos) {
	}

}
