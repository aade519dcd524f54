package io.sequoialink.cli.scenarios;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.sequoialink.bench.live.Caller;
import io.sequoialink.bench.live.DeploymentObjects;
import io.sequoialink.bench.live.LiveFleet;
import io.sequoialink.bench.live.PromiseAudit;
import io.sequoialink.daemon.host.EntryHost;
import io.sequoialink.daemon.host.HostPolicies;
import io.sequoialink.model.Json;
import io.sequoialink.model.ServerId;
import io.sequoialink.standin.EngineFault;
import io.sequoialink.standin.EngineRun;
import io.sequoialink.standin.EngineSettings;
import io.sequoialink.standin.StandinService;
import io.sequoialink.standin.Standins;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Cucumber steps that send requests and check how they were handled. Cucumber creates one
 * instance for each scenario.
 */
public class FleetSteps {

	private static final double SPEED = 0.02;

	private static final long SEED = 11;

	private static final int TOKENS = 24;

	private final World world;

	private Set<String> shuttingDownEngines = Set.of();

	private int runsBeforeShutdown;

	private List<CompletableFuture<Caller.Reply>> streams = List.of();

	private final List<Caller.Reply> harmlessReplies = new ArrayList<>();

	private Optional<Caller.Reply> replyDuringStop = Optional.empty();

	private Optional<Caller.Reply> withdrawal = Optional.empty();

	public FleetSteps(World world) {
		this.world = world;
	}

	@Given("a {word} fleet of {int} hosts")
	public void fleet(String deployment, int hosts) throws Exception {
		Standins standins = Standins.of(deployment).seed(SEED).timeScale(SPEED).start();
		this.world.start(LiveFleet.start(deployment, standins, hosts, HostPolicies.DEFAULT, SEED));
	}

	@After
	public void stop() throws Exception {
		this.world.stop();
	}

	@When("account {string} sends {int} requests of class {string} to all hosts")
	public void sends(String account, int count, String requestClass) {
		for (int i = 0; i < count; i++) {
			this.world.chat(i, account, requestClass, "request " + i, TOKENS, false, Map.of());
		}
	}

	@When("account {string} streams {int} requests of class {string} from all hosts")
	public void streams(String account, int count, String requestClass) {
		for (int i = 0; i < count; i++) {
			this.world.chat(i, account, requestClass, "stream " + i, TOKENS, true, Map.of());
		}
	}

	@When("account {string} asks host {int} for the version {string}")
	public void asksForVersion(String account, int host, String version) {
		String body = Json
			.write(Map.of("model", version, "messages", List.of(Map.of("role", "user", "content", "please"))));
		this.world.received(account, "",
				this.world.caller(host)
					.send("POST", "/v1/chat/completions", Map.of("authorization",
							"Bearer " + DeploymentObjects.key(account), "x-sequoialink-class", "tagline"), body));
	}

	@When("account {string} resends a crashing request {int} times through all hosts, with an innocent one after each")
	public void resendsCrashing(String account, int times) {
		for (int i = 0; i < times; i++) {
			crash(i, account);
			this.harmlessReplies
				.add(this.world.chat(i + 1, "account-4", "tagline", "innocent " + i, TOKENS, false, Map.of()));
		}
	}

	private Caller.Reply crash(int host, String account) {
		return this.world.chat(host, account, "tagline", "please " + EngineSettings.CRASH_TRIGGER, TOKENS, false,
				Map.of());
	}

	@Then("at most {int} engines crashed")
	public void crashesAtMost(int limit) {
		assertThat(this.world.fleet().standins().executionRecorder().crashCount()).isPositive()
			.isLessThanOrEqualTo(limit);
	}

	@Then("no innocent request was refused")
	public void noHarmlessRequestRejected() {
		assertThat(this.harmlessReplies).isNotEmpty().allMatch(Caller.Reply::answered);
	}

	@Then("the crashing request is refused at every host as {string}")
	public void crashingRequestRejectedEverywhere(String code) {
		for (int i = 0; i < this.world.hosts(); i++) {
			assertThat(crash(i, "account-3").error().path("code").asText()).isEqualTo(code);
		}
	}

	@When("an operator withdraws the versions {string} at host {int}")
	public void withdraws(String selector, int host) {
		Caller.Reply reply = this.world.caller(host)
			.send("POST", "/admin/withdraw", Map.of(),
					Json.write(Map.of("selector", selector, "author", "operator", "reason", "a scenario")));
		long now = System.currentTimeMillis();
		this.withdrawal = Optional.of(reply);
		this.world.json(reply)
			.path("versions")
			.forEach((version) -> this.world.audit().withdrawn(version.asText(), now));
	}

	@When("an operator withdraws the version of the session at host {int}")
	public void withdrawsSessionVersion(int host) {
		withdraws("id=" + this.world.sessionVersion(), host);
	}

	@Then("the withdrawal was in force on {int} hosts")
	public void withdrawalConfirmedBy(int hosts) {
		assertThat(this.world.json(this.withdrawal.orElseThrow()).path("inForce")).hasSize(hosts);
	}

	@When("the log refuses every call")
	public void logDown() {
		this.world.fleet().standins().log().setUnavailable(true);
	}

	@When("the log answers again")
	public void logUp() {
		this.world.fleet().standins().log().setUnavailable(false);
	}

	@When("the log loses the answers to its next {int} appends")
	public void logLosesResponses(int count) {
		this.world.fleet().standins().log().dropResponses(count);
	}

	@When("{int} milliseconds pass")
	public void pass(int millis) throws InterruptedException {
		Thread.sleep(millis);
	}

	@When("account {string} begins a session of class {string} at host {int}")
	public void beginsSession(String account, String requestClass, int host) {
		this.world.beginSession(account, requestClass, host);
	}

	@When("the session goes on for {int} requests over all hosts")
	public void sessionGoesOn(int count) {
		for (int i = 0; i < count; i++) {
			this.world.continueSession(i, this.world.sessionAccount());
		}
	}

	@When("another account continues the session at host {int}")
	public void otherAccountContinuesSession(int host) {
		this.world.continueSession(host, "account-7");
	}

	@Then("all requests of the session ran on one version")
	public void sessionUsedOneVersion() {
		assertThat(this.world.sessionVersions()).hasSize(1);
	}

	@When("engines answer with {word} in {int} of 100 answers")
	public void engineFault(String fault, int percent) {
		this.world.fleet()
			.standins()
			.engines()
			.values()
			.forEach((engine) -> engine.setFaultShare(EngineFault.valueOf(fault), percent / 100.0));
	}

	@When("account {string} sends a request with the deadline {string} to host {int}")
	public void deadline(String account, String deadline, int host) {
		this.world.chat(host, account, "tagline", "late", TOKENS, false, Map.of("x-sequoialink-deadline", deadline));
	}

	@When("an unknown account sends a request to host {int}")
	public void unknownAccount(int host) {
		this.world.chat(host, "nobody", "tagline", "hello", TOKENS, false, Map.of());
	}

	@When("account {string} sends the charge {string} to every host in turn")
	public void charges(String account, String key) {
		String service = DeploymentObjects.chargingService(this.world.fleet().deployment());
		for (int i = 0; i < this.world.hosts(); i++) {
			this.world.received(account, key,
					this.world.caller(i).charge(DeploymentObjects.key(account), service, key, "{\"amount\":5}"));
		}
	}

	@When("services execute charges and lose the answers")
	public void servicesDropResponses() {
		this.world.fleet()
			.standins()
			.services()
			.values()
			.forEach((service) -> service.setFaultShare(StandinService.Fault.DROP_ANSWER, 1));
	}

	@Then("the charge {string} was executed {int} times")
	public void executed(String key, int times) {
		assertThat(this.world.fleet().standins().executionRecorder().executions(key)).isEqualTo(times);
	}

	@When("the engines of version {string} but one are leaving")
	public void shutDownAllEnginesButOne(String version) {
		List<String> offering = this.world.fleet()
			.standins()
			.engines()
			.values()
			.stream()
			.filter((engine) -> engine.directoryEntry().offers().contains(version))
			.map((engine) -> engine.directoryEntry().id().value())
			.sorted()
			.toList();
		this.shuttingDownEngines = new TreeSet<>(offering.subList(1, offering.size()));
		this.shuttingDownEngines
			.forEach((id) -> this.world.fleet().standins().directory().markShuttingDown(new ServerId(id)));
		this.runsBeforeShutdown = runsOnEnginesShuttingDown();
	}

	@Then("no leaving engine received one of them")
	public void noRunsOnEnginesShuttingDown() {
		assertThat(this.shuttingDownEngines).isNotEmpty();
		assertThat(runsOnEnginesShuttingDown()).isEqualTo(this.runsBeforeShutdown);
	}

	private int runsOnEnginesShuttingDown() {
		return this.world.fleet()
			.standins()
			.executionRecorder()
			.runs((run) -> this.shuttingDownEngines.contains(run.server()))
			.size();
	}

	@When("account {string} has {int} streams of class {string} in flight at host {int}")
	public void inFlight(String account, int count, String requestClass, int host) throws Exception {
		ExecutorService executor = Executors.newFixedThreadPool(count);
		this.streams = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			String prompt = "in flight " + i;
			this.streams.add(CompletableFuture.supplyAsync(
					() -> this.world.chat(host, account, requestClass, prompt, 400, true, Map.of()), executor));
		}
		executor.shutdown();
		LiveFleet.await(() -> this.world.fleet().standins().executionRecorder().runs().size() >= count);
	}

	@When("host {int} stops gracefully")
	public void stopsGracefully(int index) throws Exception {
		EntryHost host = this.world.fleet().hosts().get(index);
		CompletableFuture<Integer> stopping = CompletableFuture.supplyAsync(host::stop);
		Thread.sleep(50);
		this.replyDuringStop = Optional
			.of(this.world.chat(index, "account-1", "tagline", "too late", TOKENS, false, Map.of()));
		assertThat(stopping.get()).isZero();
	}

	@When("all hosts stop gracefully")
	public void allStop() {
		this.world.fleet().hosts().forEach(EntryHost::stop);
	}

	@Then("all streams in flight ended whole")
	public void allStreamsComplete() {
		assertThat(this.streams).isNotEmpty().allMatch((stream) -> stream.join().answered());
	}

	@Then("a request to the stopping host was refused as not run")
	public void refusedDuringStop() {
		Caller.Reply reply = this.replyDuringStop.orElseThrow();
		assertThat(reply.error().path("code").asText()).isEqualTo("draining");
		assertThat(reply.error().path("executed").asText()).isEqualTo("none");
	}

	@Then("the last request is refused as {string} and was not run")
	public void refusedNotRun(String code) {
		assertThat(this.world.last().error().path("code").asText()).isEqualTo(code);
		assertThat(this.world.last().error().path("executed").asText()).isEqualTo("none");
	}

	@Then("the last request is refused as {string} and may have been run")
	public void refusedUnknown(String code) {
		assertThat(this.world.last().error().path("code").asText()).isEqualTo(code);
		assertThat(this.world.last().error().path("executed").asText()).isEqualTo("unknown");
	}

	@Then("the last request is answered")
	public void answered() {
		assertThat(this.world.last().answered()).isTrue();
	}

	@Then("no run was disallowed")
	public void noDisallowedRun() {
		assertThat(this.world.audit().count().path("disallowed_runs").asLong()).isZero();
		Set<String> ran = this.world.fleet()
			.standins()
			.executionRecorder()
			.runs()
			.stream()
			.map(EngineRun::version)
			.collect(Collectors.toSet());
		assertThat(ran).doesNotContain("caption-large-1");
	}

	@Then("no run on a withdrawn version was new")
	public void noNewRequestsOnWithdrawnVersions() {
		assertThat(this.world.audit().count().path("withdrawn_new_work").asLong()).isZero();
	}

	@Then("every answered request has one bill")
	public void billed() throws Exception {
		awaitBills();
		ObjectNode figures = this.world.audit().count();
		assertThat(figures.path("answered").asLong()).isPositive().isEqualTo(figures.path("billed").asLong());
	}

	@Then("no answer was another's or cut off")
	public void answersCompleteAndOwn() {
		assertThat(this.world.audit().count().path("wrong_answers").asLong()).isZero();
		assertThat(this.world.audit().count().path("answered").asLong()).isPositive();
	}

	@Then("every promise held")
	public void allGuaranteesHeld() throws Exception {
		awaitBills();
		ObjectNode figures = this.world.audit().count();
		assertThat(PromiseAudit.kept(figures)).as(figures.toString()).isTrue();
	}

	/**
	 * Waits until all answered requests are billed, since bills are appended to the log
	 * in batches. No violation is lost by waiting: the other counts never decrease.
	 */
	private void awaitBills() throws Exception {
		LiveFleet.await(() -> this.world.audit().count().path("unbilled").asLong() == 0);
	}

}
