package io.sequoialink.decision.routing;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import io.sequoialink.decision.ServerPolicy;
import io.sequoialink.decision.ServerView;
import io.sequoialink.model.ServerId;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ServerPolicyTests {

	private static final ServerPolicy POLICY = new LoadAwareServerPolicy(RoutingParameters.DEFAULT);

	@Property(tries = 500, seed = "3")
	void neverChoosesServersThatShutDownAndAvoidedOnesOnlyWithoutAlternative(@ForAll @IntRange(max = 30) int size,
			@ForAll long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		List<ServerView> servers = new ArrayList<>();
		Set<ServerId> avoided = new HashSet<>();
		boolean anyActive = false;
		boolean anyUntried = false;
		for (int i = 0; i < size; i++) {
			boolean shuttingDown = random.nextInt(3) == 0;
			servers.add(ServerViewFixture.view(i, shuttingDown, random.nextBoolean(), random.nextInt(9),
					random.nextInt(20_000)));
			boolean alreadyTried = random.nextInt(3) == 0 && avoided.add(ServerViewFixture.id(i));
			anyActive |= !shuttingDown;
			anyUntried |= !shuttingDown && !alreadyTried;
		}
		for (ServerPolicy policy : List.of(POLICY, new RoundRobinServerPolicy(), new LeastInFlightServerPolicy())) {
			Optional<ServerId> chosen = policy.choose(ServerViewFixture.request(random.nextLong(2)), servers, avoided,
					random);
			assertThat(chosen.isPresent()).isEqualTo(anyActive);
			if (chosen.isPresent()) {
				ServerView view = servers.stream()
					.filter((other) -> other.server().id().equals(chosen.get()))
					.findFirst()
					.orElseThrow();
				assertThat(view.server().leaving()).isFalse();
				assertThat(anyUntried && avoided.contains(chosen.get())).isFalse();
			}
		}
	}

	@Test
	void equalPrefixesGoToTheSameServerUntilItIsLoaded() {
		List<ServerView> servers = new ArrayList<>(List.of(ServerViewFixture.idle(0), ServerViewFixture.idle(1),
				ServerViewFixture.idle(2), ServerViewFixture.idle(3)));
		SplittableRandom random = new SplittableRandom(1);
		ServerId owner = POLICY.choose(ServerViewFixture.request(77), servers, Set.of(), random).orElseThrow();
		for (int i = 0; i < 20; i++) {
			assertThat(POLICY.choose(ServerViewFixture.request(77), servers, Set.of(), random)).contains(owner);
		}
		servers.replaceAll((view) -> view.server().id().equals(owner)
				? new ServerView(view.server(), 8, 0, 0, 8, 0, 0, false, 1_000_000, 0, true) : view);
		for (int i = 0; i < 20; i++) {
			assertThat(POLICY.choose(ServerViewFixture.request(77), servers, Set.of(), random))
				.isNotEqualTo(Optional.of(owner));
		}
	}

	@Test
	void newServerGetsLessThanItsFullShareDuringSlowStart() {
		List<ServerView> servers = List.of(ServerViewFixture.idle(0), ServerViewFixture.idle(1),
				ServerViewFixture.idle(2), ServerViewFixture.view(3, false, false, 0, 100));
		SplittableRandom random = new SplittableRandom(2);
		int count = 0;
		for (int i = 0; i < 4000; i++) {
			count += POLICY.choose(ServerViewFixture.request(0), servers, Set.of(), random)
				.orElseThrow()
				.equals(ServerViewFixture.id(3)) ? 1 : 0;
		}
		assertThat(count).isBetween(1, 500);
	}

	@Test
	void slowStartDoesNotApplyIfAllServersAreNew() {
		List<ServerView> servers = List.of(ServerViewFixture.view(0, false, false, 8, 100),
				ServerViewFixture.view(1, false, false, 8, 100), ServerViewFixture.view(2, false, false, 0, 100),
				ServerViewFixture.view(3, false, false, 8, 100));
		SplittableRandom random = new SplittableRandom(3);
		for (int i = 0; i < 200; i++) {
			assertThat(POLICY.choose(ServerViewFixture.request(0), servers, Set.of(), random))
				.contains(ServerViewFixture.id(2));
		}
	}

}
