package io.sequoialink.decision.limits;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import io.sequoialink.decision.observation.GossipRounds;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Which of several responses and reports tells a server's present limit.
 */
class ServerLimitsTests {

	private static final long MILLI = 1_000_000L;

	private static final long SERVER = 7;

	private final ServerLimits limits = new ServerLimits();

	// The first response names 2; then another one arrives. Times in milliseconds; -1
	// stands for a response that names nothing, -2 for one that is unreadable.
	@ParameterizedTest
	@CsvSource({ "1, 50, 200, 1", "3, 150, 200, 3", "3, 50, 200, 2", "-1, 400, 500, Infinity", "-1, 300, 900, 2",
			"-1, 50, 900, 2", "-2, 5000, 5100, 2", "0, 150, 200, 0", "2, 150, 200, 2", "10000, 400, 500, Infinity" })
	void theYoungestResponseTellsTheLimit(double second, long sentMillis, long receivedMillis, double expected) {
		this.limits.observe(SERVER, NamedLimit.of(2), 0, 100 * MILLI);
		this.limits.observe(SERVER, named(second), sentMillis * MILLI, receivedMillis * MILLI);
		assertThat(this.limits.perSecond(SERVER).orElse(Double.POSITIVE_INFINITY)).isEqualTo(expected);
	}

	private static NamedLimit named(double perSecond) {
		if (perSecond == -2) {
			return NamedLimit.UNREADABLE;
		}
		return (perSecond < 0) ? NamedLimit.ABSENT : NamedLimit.of(perSecond);
	}

	@Test
	void aLimitDoesNotExpireAndIsGossipedInAFixedNumberOfRounds() {
		this.limits.observe(SERVER, NamedLimit.of(2), 0, 0);
		for (int round = 0; round < GossipRounds.ROUNDS_PER_CHANGE; round++) {
			assertThat(this.limits.selectForGossip(10, 100 * MILLI * round)).containsOnlyKeys(SERVER);
		}
		assertThat(this.limits.selectForGossip(10, 3_600_000 * MILLI)).isEmpty();
		assertThat(this.limits.perSecond(SERVER)).hasValue(2);
	}

	@Test
	void aPeerThatIsBehindIsToldAgain() {
		this.limits.observe(SERVER, NamedLimit.of(2), 0, 1000 * MILLI);
		for (int round = 0; round < GossipRounds.ROUNDS_PER_CHANGE; round++) {
			this.limits.selectForGossip(10, 1000 * MILLI);
		}
		this.limits.mergeFromPeer(SERVER, new LimitObservation(LimitObservation.UNLIMITED, 500 * MILLI), 6000 * MILLI);
		assertThat(this.limits.perSecond(SERVER)).hasValue(2);
		assertThat(this.limits.selectForGossip(10, 2000 * MILLI)).containsOnlyKeys(SERVER);
	}

	// After a suspension this host's observations look younger than they are.
	@Test
	void anObservationFromBeforeASuspensionGivesWayToAPeersYoungerOne() {
		this.limits.observe(SERVER, NamedLimit.of(2), 0, 1000 * MILLI);
		this.limits.age(5000 * MILLI);
		this.limits.mergeFromPeer(SERVER, new LimitObservation(LimitObservation.UNLIMITED, 500 * MILLI), 6000 * MILLI);
		assertThat(this.limits.perSecond(SERVER)).isEmpty();
	}

	@Test
	void theNumberOfServersIsBounded() {
		for (long server = 0; server < 2L * ServerLimits.MAX_SERVERS; server++) {
			this.limits.observe(server, NamedLimit.of(1), 0, 0);
		}
		assertThat(this.limits.count()).isEqualTo(ServerLimits.MAX_SERVERS);
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void observationsMergeInAnyOrderAndMoreThanOnce(long seed) {
		Random random = new Random(seed);
		for (int round = 0; round < 200; round++) {
			List<LimitObservation> all = new ArrayList<>();
			for (int i = 0; i < 6; i++) {
				double perSecond = random.nextBoolean() ? LimitObservation.UNLIMITED : random.nextInt(4);
				all.add(new LimitObservation(perSecond, 125 * MILLI * random.nextInt(8)));
			}
			LimitObservation first = all.stream().reduce(LimitObservation::merge).orElseThrow();
			all.addAll(all);
			Collections.shuffle(all, random);
			assertThat(all.stream().reduce(LimitObservation::merge)).hasValue(first);
		}
	}

}
