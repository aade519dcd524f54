package io.sequoialink.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sequoialink.bench.live.Caller;
import io.sequoialink.bench.live.DeploymentObjects;
import io.sequoialink.bench.live.LiveFleet;
import io.sequoialink.bench.live.PromiseAudit;
import io.sequoialink.daemon.host.EntryHost;
import io.sequoialink.model.Json;
import io.sequoialink.model.ModelVersion;

/**
 * Sends the requests of the demo, prints each response with its explanation, and checks
 * from the records of the simulated external systems whether the guarantees to clients
 * held. Confined to one thread.
 */
final class DemoRun {

	private static final String CHARGE_IDEMPOTENCY_KEY = "demo-charge-1";

	private static final int MAX_TEXT_LENGTH = 60;

	private final LiveFleet fleet;

	private final PrintWriter out;

	private final PromiseAudit audit;

	private final List<Caller> callers = new ArrayList<>();

	private Optional<String> sessionToken = Optional.empty();

	private Optional<String> sessionVersion = Optional.empty();

	private String sessionAccount = "account-0";

	private String chargeAccount = "account-0";

	DemoRun(LiveFleet fleet, PrintWriter out) {
		this.fleet = fleet;
		this.out = out;
		this.audit = PromiseAudit.of(fleet);
		fleet.hosts().forEach((host) -> this.callers.add(new Caller(host.httpPort())));
	}

	ObjectNode run(List<DemoStep> steps) throws Exception {
		try {
			for (DemoStep step : steps) {
				perform(step);
			}
			this.fleet.hosts().forEach(EntryHost::stop);
			return this.audit.count();
		}
		finally {
			for (Caller caller : this.callers) {
				caller.close();
			}
		}
	}

	private void perform(DemoStep step) {
		switch (step.kind()) {
			case WITHDRAW -> withdraw(step);
			case CHARGE, CHARGE_AGAIN -> charge(step);
			case SESSION_START -> startSession(step);
			case SESSION_NEXT -> chat(step, this.sessionAccount, DeploymentObjects.key(this.sessionAccount),
					this.sessionToken.map((token) -> Map.of("x-sequoialink-session", token)).orElse(Map.of()));
			case UNKNOWN_ACCOUNT -> chat(step, "unknown", "no-such-key", Map.of());
			case DISALLOWED -> requestDisallowedVersion(step);
			default -> chat(step, step.account(), DeploymentObjects.key(step.account()), Map.of());
		}
	}

	private void startSession(DemoStep step) {
		Caller.Reply reply = chat(step, step.account(), DeploymentObjects.key(step.account()),
				Map.of("x-sequoialink-session", "new"));
		this.sessionAccount = step.account();
		this.sessionToken = reply.header("x-sequoialink-session");
		this.sessionVersion = reply.header("x-sequoialink-version");
	}

	private void requestDisallowedVersion(DemoStep step) {
		List<ModelVersion> versions = this.fleet.hosts().get(0).catalogue().view().versions().toList();
		String mostExpensive = versions.stream()
			.max((a, b) -> Long.compare(a.cost(), b.cost()))
			.map((version) -> version.id().value())
			.orElseThrow();
		String body = Json.write(Map.of("model", mostExpensive, "max_tokens", step.maxTokens(), "messages",
				List.of(Map.of("role", "user", "content", step.prompt()))));
		Caller.Reply reply = this.callers.get(step.host())
			.send("POST", "/v1/chat/completions", Map.of("authorization",
					"Bearer " + DeploymentObjects.key(step.account()), "x-sequoialink-class", step.requestClass()),
					body);
		this.audit.received(step.account(), "", reply);
		print(step, step.account(), reply);
	}

	private Caller.Reply chat(DemoStep step, String account, String key, Map<String, String> headers) {
		Caller.Reply reply = this.callers.get(step.host())
			.chat(key, step.requestClass(), step.prompt(), step.maxTokens(), step.kind() == DemoStep.Kind.STREAMED,
					headers);
		this.audit.received(account, "", reply);
		print(step, account, reply);
		return reply;
	}

	private void charge(DemoStep step) {
		if (step.kind() == DemoStep.Kind.CHARGE) {
			this.chargeAccount = step.account();
		}
		Caller.Reply reply = this.callers.get(step.host())
			.charge(DeploymentObjects.key(this.chargeAccount),
					DeploymentObjects.chargingService(this.fleet.deployment()), CHARGE_IDEMPOTENCY_KEY,
					"{\"amount\":100}");
		this.audit.received(this.chargeAccount, CHARGE_IDEMPOTENCY_KEY, reply);
		print(step, this.chargeAccount, reply);
	}

	private void withdraw(DemoStep step) {
		String version = this.sessionVersion.orElseThrow();
		Caller.Reply reply = this.callers.get(step.host())
			.send("POST", "/admin/withdraw", Map.of(),
					Json.write(Map.of("selector", "id=" + version, "author", "demo", "reason", "shown in the demo")));
		this.audit.withdrawn(version, System.currentTimeMillis());
		this.out.println("-- withdraw " + version + ": " + reply.text());
	}

	private void print(DemoStep step, String account, Caller.Reply reply) {
		String request = reply.request().orElse("-");
		this.out.printf("-- %s %s %s at host-%d: status %d, %.0f ms%n", step.kind().name().toLowerCase(Locale.ROOT),
				account, step.requestClass(), step.host(), reply.status(), reply.millis());
		String text = reply.text().replace('\n', ' ');
		this.out.println("   " + text.substring(0, Math.min(MAX_TEXT_LENGTH, text.length())));
		Caller.Reply explanation = this.callers.get((step.host() + 1) % this.callers.size())
			.send("GET", "/admin/explain/" + request, Map.of(), "");
		this.out.println("   " + ExplanationFormatter.singleLine(parse(explanation.text())));
		this.out.flush();
	}

	private static JsonNode parse(String text) {
		try {
			return Json.mapper().readTree(text);
		}
		catch (IOException ex) {
			return Json.mapper().missingNode();
		}
	}

}
