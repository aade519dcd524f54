package io.sequoialink.cli.scenarios;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.sequoialink.bench.live.LiveFleet;
import io.sequoialink.catalogue.Change;
import io.sequoialink.catalogue.Verdict;
import io.sequoialink.daemon.host.EntryHost;
import io.sequoialink.model.CatalogueView;
import io.sequoialink.model.ClassId;
import io.sequoialink.model.RequestClass;
import io.sequoialink.remote.LogUnavailableException;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Cucumber steps that change the configuration and check how it spreads over the hosts.
 * Cucumber creates one instance for each scenario.
 */
public class ConfigurationSteps {

	private static final ClassId CHANGED_CLASS = new ClassId("tagline");

	private final World world;

	private final List<Long> propagationMillis = new ArrayList<>();

	private final Map<String, Long> revisions = new HashMap<>();

	private boolean reverted;

	private List<Verdict> verdicts = List.of();

	public ConfigurationSteps(World world) {
		this.world = world;
	}

	@When("an operator publishes {int} changes of one class at all hosts")
	public void publishes(int count) throws Exception {
		for (int i = 0; i < count; i++) {
			EntryHost host = this.world.fleet().hosts().get(i % this.world.hosts());
			long started = System.nanoTime();
			Verdict verdict = change(host, "change-" + i, Duration.ofSeconds(4 + i));
			assertThat(verdict.kind()).isEqualTo(Verdict.Kind.ACCEPTED);
			LiveFleet.await(() -> allHostsReached(verdict.offset()));
			this.propagationMillis.add((System.nanoTime() - started) / 1_000_000);
		}
	}

	private Verdict change(EntryHost host, String id, Duration deadline) throws LogUnavailableException {
		CatalogueView view = host.catalogue().view();
		RequestClass current = view.requestClass(CHANGED_CLASS).orElseThrow();
		RequestClass changed = new RequestClass(CHANGED_CLASS, current.labels(), current.qualityTarget(), deadline);
		long revision = view.entry(current.key()).orElseThrow().revision();
		return host.catalogue().apply(new Change(id, current.key(), revision, Optional.of(changed), "operator", ""));
	}

	private boolean allHostsReached(long offset) {
		boolean allReached = true;
		for (EntryHost host : this.world.fleet().hosts()) {
			long revision = host.catalogue().view().revision();
			long before = this.revisions.getOrDefault(host.identity().host().value(), -1L);
			this.reverted |= revision < before;
			this.revisions.put(host.identity().host().value(), revision);
			allReached &= revision >= offset;
		}
		return allReached;
	}

	@Then("every accepted change was in force on every host within {int} milliseconds")
	public void propagatedWithin(int millis) {
		assertThat(this.propagationMillis).isNotEmpty().allMatch((elapsed) -> elapsed <= millis);
	}

	@Then("no host went back to an earlier revision")
	public void neverReverted() {
		assertThat(this.reverted).isFalse();
	}

	@When("a host is lost and another one starts")
	public void hostReplaced() throws Exception {
		this.world.fleet().kill(this.world.fleet().hosts().get(0));
		this.world.fleet().addHost();
	}

	@Then("the new host holds the newest configuration")
	public void newHostHasNewestRevision() throws Exception {
		long newest = this.revisions.values().stream().mapToLong(Long::longValue).max().orElseThrow();
		List<EntryHost> hosts = this.world.fleet().hosts();
		LiveFleet.await(() -> hosts.get(hosts.size() - 1).catalogue().view().revision() >= newest);
	}

	@When("two operators change one class against the same revision")
	public void changeConcurrently() throws Exception {
		List<EntryHost> hosts = this.world.fleet().hosts();
		CatalogueView view = hosts.get(0).catalogue().view();
		RequestClass current = view.requestClass(CHANGED_CLASS).orElseThrow();
		long revision = view.entry(current.key()).orElseThrow().revision();
		List<CompletableFuture<Verdict>> pendingVerdicts = new ArrayList<>();
		for (int i = 0; i < 2; i++) {
			RequestClass wanted = new RequestClass(CHANGED_CLASS, current.labels(), current.qualityTarget(),
					Duration.ofSeconds(7 + i));
			Change change = new Change("race-" + i, current.key(), revision, Optional.of(wanted), "operator-" + i, "");
			EntryHost host = hosts.get(i);
			pendingVerdicts.add(CompletableFuture.supplyAsync(() -> applied(host, change)));
		}
		this.verdicts = pendingVerdicts.stream().map(CompletableFuture::join).toList();
	}

	private static Verdict applied(EntryHost host, Change change) {
		try {
			return host.catalogue().apply(change);
		}
		catch (LogUnavailableException ex) {
			throw new IllegalStateException(ex);
		}
	}

	@Then("one change is accepted and the other one is a conflict that shows the present object")
	public void conflictShown() {
		assertThat(this.verdicts).extracting(Verdict::kind)
			.containsExactlyInAnyOrder(Verdict.Kind.ACCEPTED, Verdict.Kind.CONFLICT);
		Verdict conflict = this.verdicts.stream()
			.filter((verdict) -> verdict.kind() == Verdict.Kind.CONFLICT)
			.findFirst()
			.orElseThrow();
		assertThat(conflict.current()).isPresent();
		assertThat(conflict.explanation()).isNotBlank();
	}

}
