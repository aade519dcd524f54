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
	void neverLeavingAndNeverAvoidedWhileAnotherIsThere(@ForAll @IntRange(max = 30) int size, @ForAll long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		List<ServerView> servers = new ArrayList<>();
		Set<ServerId> avoided = new HashSet<>();
		boolean staying = false;
		boolean fresh = false;
		for (int i = 0; i < size; i++) {
			boolean leaving = random.nextInt(3) == 0;
			servers.add(Views.view(i, leaving, random.nextBoolean(), random.nextInt(9), random.nextInt(20_000)));
			boolean avoid = random.nextInt(3) == 0 && avoided.add(Views.id(i));
			staying |= !leaving;
			fresh |= !leaving && !avoid;
		}
		for (ServerPolicy policy : List.of(POLICY, new RoundRobinServerPolicy(), new LeastInFlightServerPolicy())) {
			Optional<ServerId> chosen = policy.choose(Views.request(random.nextLong(2)), servers, avoided, random);
			assertThat(chosen.isPresent()).isEqualTo(staying);
			if (chosen.isPresent()) {
				ServerView view = servers.stream()
					.filter((other) -> other.server().id().equals(chosen.get()))
					.findFirst()
					.orElseThrow();
				assertThat(view.server().leaving()).isFalse();
				assertThat(fresh && avoided.contains(chosen.get())).isFalse();
			}
		}
	}

	@Test
	void equalPrefixesMeetOnOneServerUntilItIsLoaded() {
		List<ServerView> servers = new ArrayList<>(List.of(Views.idle(0), Views.idle(1), Views.idle(2), Views.idle(3)));
		SplittableRandom random = new SplittableRandom(1);
		ServerId owner = POLICY.choose(Views.request(77), servers, Set.of(), random).orElseThrow();
		for (int i = 0; i < 20; i++) {
			assertThat(POLICY.choose(Views.request(77), servers, Set.of(), random)).contains(owner);
		}
		servers.replaceAll((view) -> view.server().id().equals(owner)
				? new ServerView(view.server(), 8, 0, 0, 8, 0, 0, false, 1_000_000, 0, true) : view);
		for (int i = 0; i < 20; i++) {
			assertThat(POLICY.choose(Views.request(77), servers, Set.of(), random)).isNotEqualTo(Optional.of(owner));
		}
	}

	@Test
	void aNewServerGetsLessThanItsShare() {
		List<ServerView> servers = List.of(Views.idle(0), Views.idle(1), Views.idle(2),
				Views.view(3, false, false, 0, 100));
		SplittableRandom random = new SplittableRandom(2);
		int count = 0;
		for (int i = 0; i < 4000; i++) {
			count += POLICY.choose(Views.request(0), servers, Set.of(), random).orElseThrow().equals(Views.id(3)) ? 1
					: 0;
		}
		assertThat(count).isBetween(1, 500);
	}

	@Test
	void aHostThatSeesEveryServerAsNewHoldsNoneBack() {
		List<ServerView> servers = List.of(Views.view(0, false, false, 8, 100), Views.view(1, false, false, 8, 100),
				Views.view(2, false, false, 0, 100), Views.view(3, false, false, 8, 100));
		SplittableRandom random = new SplittableRandom(3);
		for (int i = 0; i < 200; i++) {
			assertThat(POLICY.choose(Views.request(0), servers, Set.of(), random)).contains(Views.id(2));
		}
	}

}
