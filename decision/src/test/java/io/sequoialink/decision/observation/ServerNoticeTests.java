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
class ServerNoticeTests {

	static List<Long> seeds() {
		return new Random(1).longs(100).boxed().toList();
	}

	private static ServerNotice randomNotice(Random random) {
		return new ServerNotice(random.nextBoolean() ? random.nextInt(9) : ServerNotice.NEVER,
				random.nextBoolean() ? random.nextInt(9) : ServerNotice.NEVER);
	}

	@ParameterizedTest
	@MethodSource("seeds")
	void mergeIsCommutativeAssociativeAndIdempotent(long seed) {
		Random random = new Random(seed);
		ServerNotice one = randomNotice(random);
		ServerNotice two = randomNotice(random);
		ServerNotice three = randomNotice(random);
		assertThat(one.merge(two)).isEqualTo(two.merge(one));
		assertThat(one.merge(two).merge(three)).isEqualTo(one.merge(two.merge(three)));
		assertThat(one.merge(two).merge(two).merge(one)).isEqualTo(one.merge(two));
		assertThat(one.merge(ServerNotice.EMPTY)).isEqualTo(one);
	}

	@Test
	void sinceRemovesOldNotices() {
		ServerNotice notice = new ServerNotice(5, 9);
		assertThat(notice.withoutEventsBefore(6)).isEqualTo(new ServerNotice(ServerNotice.NEVER, 9));
		assertThat(notice.withoutEventsBefore(10).isEmpty()).isTrue();
	}

}
