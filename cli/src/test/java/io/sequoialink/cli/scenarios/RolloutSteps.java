package io.sequoialink.cli.scenarios;

import java.util.List;
import java.util.Map;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.sequoialink.bench.live.LiveFleet;
import io.sequoialink.daemon.host.HostPolicies;
import io.sequoialink.model.Labels;
import io.sequoialink.model.ModelVersion;
import io.sequoialink.model.Rollout;
import io.sequoialink.model.RolloutStage;
import io.sequoialink.model.RolloutState;
import io.sequoialink.model.Selector;
import io.sequoialink.model.VersionId;
import io.sequoialink.model.VersionState;
import io.sequoialink.standin.Standins;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Cucumber steps that run a roll-out with a faulty candidate version. Cucumber creates
 * one instance for each scenario.
 */
public class RolloutSteps {

	private static final double SPEED = 0.02;

	private static final long SEED = 11;

	private final World world;

	private VersionId stable;

	private VersionId candidate;

	public RolloutSteps(World world) {
		this.world = world;
	}

	@Given("a {word} fleet of {int} hosts with the candidate {string} beside {string}")
	public void fleet(String deployment, int hosts, String newVersion, String oldVersion) throws Exception {
		this.candidate = new VersionId(newVersion);
		this.stable = new VersionId(oldVersion);
		Standins standins = Standins.of(deployment)
			.seed(SEED)
			.timeScale(SPEED)
			.addVersion(newVersion, oldVersion, 1)
			.start();
		this.world.start(LiveFleet.start(deployment, standins, hosts, HostPolicies.DEFAULT, SEED));
	}

	@When("the candidate fails {int} of 10 runs")
	public void candidateFails(int runs) {
		this.world.fleet()
			.standins()
			.engines()
			.values()
			.forEach((engine) -> engine.setFailureShare(this.candidate.value(), runs / 10.0));
	}

	@When("an operator starts its roll-out at half of the new work")
	public void startsRollout() throws Exception {
		Labels labels = Labels.of(Map.of("tier", "small", "id", this.candidate.value()));
		long cost = this.world.fleet().standins().outcomes().table().version(this.stable.value()).cost();
		this.world.fleet()
			.publish(List.of(new ModelVersion(this.candidate, labels, cost, VersionState.OFFERED),
					new Rollout("trial", Labels.none(), this.stable, this.candidate, Selector.everything(),
							List.of(new RolloutStage(0.5, 500)), RolloutState.RUNNING, 0)));
		this.world.fleet().awaitReady();
	}

	@When("account {string} sends at most {int} requests of class {string} until the roll-out is returned")
	public void sendsUntilReturned(String account, int limit, String requestClass) {
		for (int i = 0; i < limit && state() != RolloutState.RETURNED; i++) {
			this.world.chat(i, account, requestClass, "request " + i, 12, false, Map.of());
		}
	}

	@Then("the candidate was tried and its roll-out is recorded as returned")
	public void rolloutReturned() throws Exception {
		assertThat(runs()).isPositive();
		LiveFleet.await(() -> this.world.fleet()
			.hosts()
			.stream()
			.allMatch((host) -> host.catalogue()
				.view()
				.rollouts()
				.allMatch((rollout) -> rollout.state() == RolloutState.RETURNED)));
	}

	@Then("no new work reaches the candidate")
	public void candidateGetsNoNewRequests() {
		int before = runs();
		for (int i = 0; i < 30; i++) {
			this.world.chat(i, "account-1", "tagline", "afterwards " + i, 12, false, Map.of());
		}
		assertThat(runs()).isEqualTo(before);
	}

	private int runs() {
		return this.world.fleet()
			.standins()
			.executionRecorder()
			.runs((run) -> run.version().equals(this.candidate.value()))
			.size();
	}

	private RolloutState state() {
		return this.world.fleet()
			.hosts()
			.get(0)
			.catalogue()
			.view()
			.rollouts()
			.map(Rollout::state)
			.findFirst()
			.orElseThrow();
	}

}
