package io.sequoialink.decision.observation;

import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks the algebraic properties of merging, with random notices.
 */
class ServerSightingTests {

	static List<Long> seeds() {
		return new Random(1).longs(100).boxed().toList();
	}

	private static ServerSighting randomNotice(Random random) {
		return new ServerSighting(random.nextBoolean() ? random.nextInt(9) : ServerSighting.NEVER,
				random.nextBoolean() ? random.nextInt(9) : ServerSighting.NEVER);
	}

	@ParameterizedTest
	@MethodSource("seeds")
	void mergeIsCommutativeAssociativeAndIdempotent(long seed) {
		Random random = new Random(seed);
		ServerSighting one = randomNotice(random);
		ServerSighting two = randomNotice(random);
		ServerSighting three = randomNotice(random);
		assertThat(one.merge(two)).isEqualTo(two.merge(one));
		assertThat(one.merge(two).merge(three)).isEqualTo(one.merge(two.merge(three)));
		assertThat(one.merge(two).merge(two).merge(one)).isEqualTo(one.merge(two));
		assertThat(one.merge(ServerSighting.NOTHING)).isEqualTo(one);
	}

	@Test
	void sinceRemovesOldNotices() {
		ServerSighting notice = new ServerSighting(5, 9);
		assertThat(notice.since(6)).isEqualTo(new ServerSighting(ServerSighting.NEVER, 9));
		assertThat(notice.since(10).empty()).isTrue();
	}

}
