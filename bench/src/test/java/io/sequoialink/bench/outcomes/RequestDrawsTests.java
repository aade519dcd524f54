package io.sequoialink.bench.outcomes;

import java.util.List;
import java.util.function.Predicate;

import io.sequoialink.bench.ExperimentException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class RequestDrawsTests {

	private static final int COUNT = 30_000;

	@ParameterizedTest
	@ValueSource(strings = { "magnolia", "bergvik" })
	void drawsDoNotDependOnTheOrderOfAsking(String deployment) throws ExperimentException {
		OutcomeTable table = OutcomeTable.deployment(deployment);
		List<DrawnRequest> once = RequestDraws.draw(table, 5, 500);
		List<DrawnRequest> again = RequestDraws.draw(table, 5, 500);
		for (int i = 499; i >= 0; i--) {
			for (int version = 2; version >= 0; version--) {
				assertThat(again.get(i).rating(version, 1)).isEqualTo(once.get(i).rating(version, 1));
				assertThat(again.get(i).good(version)).isEqualTo(once.get(i).good(version));
			}
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "magnolia", "bergvik" })
	void sharesAndChancesFollowTheTable(String deployment) throws ExperimentException {
		OutcomeTable table = OutcomeTable.deployment(deployment);
		List<DrawnRequest> requests = RequestDraws.draw(table, 3, COUNT);
		assertThat(share(requests, DrawnRequest::streamed)).isCloseTo(1.0 / 3, within(0.01));
		assertThat(share(requests, (request) -> request.rating(0, 1).isEmpty()))
			.isCloseTo(table.rating().missingShare(), within(0.01));
		for (int i = 0; i < table.classes().size(); i++) {
			int index = i;
			OutcomeTable.ClassRow row = table.classes().get(i);
			List<DrawnRequest> own = requests.stream().filter((request) -> request.classIndex() == index).toList();
			assertThat((double) own.size() / COUNT).isCloseTo(row.share(), within(0.03));
			double expected = row.difficulties()
				.stream()
				.mapToDouble((difficulty) -> difficulty.share() * difficulty.chance().get(table.versions().get(1).id()))
				.sum();
			assertThat(share(own, (request) -> request.good(1))).isCloseTo(expected, within(0.02));
		}
	}

	private static double share(List<DrawnRequest> requests, Predicate<DrawnRequest> test) {
		return requests.stream().filter(test).count() / (double) requests.size();
	}

}
