package io.sequoialink.decision.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

import io.sequoialink.decision.Attempt;
import io.sequoialink.decision.RequestFacts;
import io.sequoialink.decision.RolloutPolicy;
import io.sequoialink.model.AccountId;
import io.sequoialink.model.AccountLimits;
import io.sequoialink.model.Brake;
import io.sequoialink.model.CatalogueView;
import io.sequoialink.model.ClassId;
import io.sequoialink.model.ClientAccount;
import io.sequoialink.model.ConfigObject;
import io.sequoialink.model.Effect;
import io.sequoialink.model.HostId;
import io.sequoialink.model.Labels;
import io.sequoialink.model.ModelVersion;
import io.sequoialink.model.RequestId;
import io.sequoialink.model.Rollout;
import io.sequoialink.model.RolloutStage;
import io.sequoialink.model.RolloutState;
import io.sequoialink.model.Selector;
import io.sequoialink.model.ServerId;
import io.sequoialink.model.VersionId;
import io.sequoialink.model.VersionState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

class SharedRolloutPolicyTests {

	private static final VersionId STABLE = new VersionId("small-3");

	private static final VersionId CANDIDATE = new VersionId("small-4");

	private static final List<HostId> HOSTS = List.of(new HostId("h1"), new HostId("h2"), new HostId("h3"));

	private final RolloutSettings settings = RolloutSettings.defaults();

	private final List<SharedRolloutPolicy> policies = HOSTS.stream()
		.map((host) -> new SharedRolloutPolicy(host, 1, () -> HOSTS, this.settings))
		.toList();

	private final ClientAccount account = account("team", "a");

	private Rollout rollout = new Rollout("r1", Labels.none(), STABLE, CANDIDATE, Selector.everything(),
			List.of(new RolloutStage(0.5, 40), new RolloutStage(1, 40)), RolloutState.RUNNING, 0);

	private CatalogueView view = view(10, this.rollout);

	private final List<RolloutPolicy.Action> pendingActions = new ArrayList<>();

	private int requests;

	@Test
	void candidateReceivesNothingBeforeItsReferenceIsKnown() {
		for (int i = 0; i < 100; i++) {
			assertThat(this.policies.get(0).selectVersion(this.view, this.account, request(), STABLE, 0))
				.isEqualTo(STABLE);
		}
	}

	@Test
	void unresolvedAnswersOfTheFleetStayWithinTheCredits() {
		collectReferenceAnswers();
		long placed = 0;
		for (int i = 0; i < 600; i++) {
			VersionId version = host(i).selectVersion(this.view, this.account, request(), STABLE, 0);
			placed += version.equals(CANDIDATE) ? 1 : 0;
		}
		assertThat(placed).isEqualTo(this.settings.credits());
	}

	@Test
	void continuedSessionsAreNeverMoved() {
		collectReferenceAnswers();
		RequestFacts turn = request(Optional.of(STABLE));
		for (int i = 0; i < 100; i++) {
			assertThat(host(i).selectVersion(this.view, this.account, turn, STABLE, 0)).isEqualTo(STABLE);
		}
	}

	@Test
	void failuresSeenByDifferentHostsAddUpToStopTheCandidate() {
		collectReferenceAnswers();
		assertThat(serve(30, 0, 0.9)).isNotEmpty();
		List<RolloutPolicy.Action> actions = judgeAll(1);
		assertThat(actions).anySatisfy((action) -> {
			assertThat(action.brake()).isPresent();
			assertThat(action.explanation()).contains("failures");
		});
		actions.forEach((action) -> action.brake().ifPresent((brake) -> this.policies.forEach((p) -> p.accept(brake))));
		for (int i = 0; i < 100; i++) {
			assertThat(host(i).selectVersion(this.view, this.account, request(), CANDIDATE, 2)).isEqualTo(STABLE);
		}
		assertThat(judgeAll(3)).anySatisfy((action) -> assertThat(action.change())
			.hasValueSatisfying((changed) -> assertThat(changed.state()).isEqualTo(RolloutState.RETURNED)));
	}

	@Test
	void attemptsWithoutAnEndFailAtTheirDeadline() {
		collectReferenceAnswers();
		for (int i = 0; i < 300; i++) {
			RequestFacts request = request();
			if (host(i).selectVersion(this.view, this.account, request, STABLE, 0).equals(STABLE)) {
				endAttempt(host(i), request, STABLE, "whole", 0.9);
			}
		}
		this.pendingActions.addAll(judgeAll(60_001));
		exchangeStatistics();
		assertThat(judgeAll(60_002)).anyMatch((action) -> action.brake().isPresent());
	}

	@Test
	void goodCandidateAdvancesAndARestartedHostResumesTheRecordedStage() {
		collectReferenceAnswers();
		Optional<Rollout> next = serveUntilChange();
		assertThat(next).hasValueSatisfying((changed) -> assertThat(changed.stage()).isEqualTo(1));
		this.rollout = next.orElseThrow();
		this.view = view(11, this.rollout);
		SharedRolloutPolicy replaced = new SharedRolloutPolicy(HOSTS.get(0), 2, () -> HOSTS, this.settings);
		replaced.evaluate(this.view, 5);
		this.policies.forEach((peer) -> {
			peer.evaluate(this.view, 5);
			replaced.mergeStatistics(peer.exportStatistics());
		});
		long placed = 0;
		for (int i = 0; i < 50; i++) {
			placed += replaced.selectVersion(this.view, this.account, request(), STABLE, 6).equals(CANDIDATE) ? 1 : 0;
		}
		assertThat(placed).isPositive();
		assertThat(serveUntilChange())
			.hasValueSatisfying((changed) -> assertThat(changed.state()).isEqualTo(RolloutState.COMPLETED));
	}

	@ParameterizedTest
	@EnumSource(value = RolloutState.class, names = { "PAUSED", "RETURNED" })
	void pausedOrReturnedRolloutSendsNothingToTheCandidate(RolloutState state) {
		this.view = view(12, this.rollout.at(state, 0));
		assertThat(host(0).selectVersion(this.view, this.account, request(), CANDIDATE, 0)).isEqualTo(STABLE);
	}

	@Test
	void candidateThatBecomesBadAfterCompletionIsStopped() {
		collectReferenceAnswers();
		this.view = view(12, this.rollout.at(RolloutState.COMPLETED, 1));
		serve(600, 0.005, 0.9);
		assertThat(judgeAll(5)).noneMatch((action) -> action.brake().isPresent());
		boolean stopped = false;
		for (int i = 0; i < 20 && !stopped; i++) {
			serve(10, 0.5, 0.9);
			stopped = judgeAll(6 + i).stream().anyMatch((action) -> action.brake().isPresent());
		}
		assertThat(stopped).isTrue();
	}

	@ParameterizedTest
	@CsvSource({ "b, small-4", "a, small-3" })
	void onlySelectedAccountsReceiveTheCandidate(String team, String expected) {
		Rollout selective = new Rollout("r1", Labels.none(), STABLE, CANDIDATE, Selector.parse("team=b"),
				List.of(new RolloutStage(1, 40)), RolloutState.RUNNING, 0);
		this.view = view(13, selective);
		ClientAccount caller = account("team", team);
		collectReferenceAnswers(account("team", "b"), 210);
		assertThat(host(0).selectVersion(this.view, caller, request(), STABLE, 0)).hasToString(expected);
	}

	@Test
	void brakeEndsOnlyByALaterChangeOfTheRollout() {
		collectReferenceAnswers();
		this.policies.forEach((policy) -> policy
			.accept(new Brake(Brake.Scope.VERSION, CANDIDATE.value(), "test", HOSTS.get(0), 10, 0)));
		assertThat(host(0).selectVersion(this.view, this.account, request(), CANDIDATE, 0)).isEqualTo(STABLE);
		this.view = view(20, this.rollout);
		collectReferenceAnswers();
		assertThat(serve(10, 0, 0.9)).isNotEmpty();
	}

	private Optional<Rollout> serveUntilChange() {
		for (int round = 0; round < 200; round++) {
			serve(10, 0.005, 0.9);
			for (RolloutPolicy.Action action : judgeAll(100_000L * round)) {
				assertThat(action.brake()).isEmpty();
				if (action.change().isPresent()) {
					return action.change();
				}
			}
		}
		return Optional.empty();
	}

	private void collectReferenceAnswers() {
		collectReferenceAnswers(this.account, 210);
	}

	private void collectReferenceAnswers(ClientAccount caller, int count) {
		for (int i = 0; i < count * 5; i++) {
			RequestFacts request = request();
			VersionId version = host(i).selectVersion(this.view, caller, request, STABLE, 0);
			if (version.equals(STABLE)) {
				endAttempt(host(i), request, version, "whole", 0.9);
			}
			else {
				host(i).recordOutcome(request, attempt(version, "rejected", OptionalDouble.empty()), 0);
			}
		}
		exchangeStatistics();
	}

	// Serves requests, of which a share fails if they ran on the candidate; all of
	// those fail if the share is 0.
	private List<RequestFacts> serve(int count, double failureShare, double rating) {
		List<RequestFacts> exposed = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			RequestFacts request = request();
			VersionId version = host(i).selectVersion(this.view, this.account, request, STABLE, 0);
			boolean candidate = version.equals(CANDIDATE);
			if (candidate) {
				exposed.add(request);
			}
			boolean fails = candidate && ((failureShare == 0)
					|| (int) (this.requests * failureShare) != (int) ((this.requests - 1) * failureShare));
			endAttempt(host(i), request, version, fails ? "cut_off" : "whole", rating);
		}
		exchangeStatistics();
		return exposed;
	}

	private void endAttempt(SharedRolloutPolicy host, RequestFacts request, VersionId version, String outcome,
			double rating) {
		host.recordOutcome(request, attempt(version, outcome, OptionalDouble.empty()), 0);
		host.recordOutcome(request, attempt(version, outcome, OptionalDouble.of(rating)), 1);
	}

	private List<RolloutPolicy.Action> judgeAll(long now) {
		List<RolloutPolicy.Action> actions = new ArrayList<>(this.pendingActions);
		this.policies.forEach((policy) -> actions.addAll(policy.evaluate(this.view, now)));
		this.pendingActions.clear();
		return actions;
	}

	private void exchangeStatistics() {
		this.policies.forEach((policy) -> this.pendingActions.addAll(policy.evaluate(this.view, 0)));
		for (SharedRolloutPolicy from : this.policies) {
			byte[] payload = from.exportStatistics();
			this.policies.forEach((to) -> to.mergeStatistics(payload));
			this.policies.forEach((to) -> to.mergeStatistics(payload));
		}
	}

	private SharedRolloutPolicy host(int i) {
		return this.policies.get(i % this.policies.size());
	}

	private RequestFacts request() {
		return request(Optional.empty());
	}

	private RequestFacts request(Optional<VersionId> session) {
		return new RequestFacts(new RequestId("q" + this.requests++), this.account.id(), new ClassId("tagline"), 0.9,
				60_000, 100, 100, false, session, false, 0, "aa", 0);
	}

	private static Attempt attempt(VersionId version, String outcome, OptionalDouble rating) {
		return new Attempt(version, new ServerId("s1"), Effect.DONE, rating, outcome, 200);
	}

	private static ClientAccount account(String key, String value) {
		return new ClientAccount(new AccountId("acme"), Labels.none().with(key, value), "00", Selector.everything(), 0,
				AccountLimits.UNLIMITED);
	}

	private static CatalogueView view(long revision, Rollout rollout) {
		List<ConfigObject> objects = List.of(rollout,
				new ModelVersion(STABLE, Labels.none(), 100, VersionState.OFFERED),
				new ModelVersion(CANDIDATE, Labels.none(), 100, VersionState.OFFERED));
		return CatalogueView.of(revision,
				objects.stream().map((object) -> new CatalogueView.Entry(object, revision)).toList());
	}

}
