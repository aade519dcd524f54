package io.sequoialink.bench.live;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sequoialink.model.ClientAccount;
import io.sequoialink.model.ConfigObject;
import io.sequoialink.model.Json;
import io.sequoialink.model.Labels;
import io.sequoialink.model.ModelVersion;
import io.sequoialink.model.Selector;
import io.sequoialink.remote.LogRecord;
import io.sequoialink.remote.PlatformLog;
import io.sequoialink.standin.EngineRun;
import io.sequoialink.standin.ExecutionRecorder;
import io.sequoialink.standin.Standins;

/**
 * Holds what callers received against the books of the stand-ins. Thread-safe: all state
 * is guarded by this object. Nothing is taken from the router's own figures.
 */
public final class PromiseAudit {

	private final Standins standins;

	private final Map<String, Selector> allowedByAccount = new HashMap<>();

	private final Map<String, Labels> labelsByVersion = new HashMap<>();

	private final Map<String, Long> withdrawnAtMillis = new HashMap<>();

	private final List<Sent> sent = new ArrayList<>();

	PromiseAudit(Standins standins) {
		this.standins = standins;
	}

	/**
	 * Returns an audit that knows the accounts and versions of a fleet's deployment.
	 * @param fleet the fleet
	 * @return the audit
	 */
	public static PromiseAudit of(LiveFleet fleet) {
		PromiseAudit audit = new PromiseAudit(fleet.standins());
		for (ConfigObject object : DeploymentObjects.of(fleet.deployment(), fleet.standins().outcomes().table())) {
			if (object instanceof ClientAccount account) {
				audit.account(account.id().value(), account.allowedVersions());
			}
			if (object instanceof ModelVersion version) {
				audit.version(version.id().value(), version.labels());
			}
		}
		return audit;
	}

	/**
	 * States which versions an account may use.
	 * @param account the account's identifier
	 * @param allowed its selector over versions
	 */
	public synchronized void account(String account, Selector allowed) {
		this.allowedByAccount.put(account, allowed);
	}

	/**
	 * States a version.
	 * @param version the version's identifier
	 * @param labels its labels
	 */
	public synchronized void version(String version, Labels labels) {
		this.labelsByVersion.put(version, labels);
	}

	/**
	 * States from when on a version must receive no new work.
	 * @param version the version's identifier
	 * @param atMillis epoch milliseconds
	 */
	public synchronized void withdrawn(String version, long atMillis) {
		this.withdrawnAtMillis.put(version, atMillis);
	}

	/**
	 * Takes what a caller received.
	 * @param account the account's identifier
	 * @param idempotencyKey the key of a call to a plain service, empty for others
	 * @param reply what came back
	 */
	public synchronized void received(String account, String idempotencyKey, Caller.Reply reply) {
		this.sent.add(new Sent(account, idempotencyKey, reply));
	}

	/**
	 * Counts the promises that were kept and broken.
	 * @return the figures of one JSON object
	 */
	public synchronized ObjectNode count() {
		Map<String, Set<String>> bills = bills();
		ObjectNode figures = Json.mapper().createObjectNode();
		figures.put("requests", this.sent.size());
		figures.put("answered", this.sent.stream().filter((one) -> one.reply().answered()).count());
		figures.put("refused", this.sent.stream().filter((one) -> one.reply().refused()).count());
		figures.put("lost",
				this.sent.stream().filter((one) -> !one.reply().answered() && !one.reply().refused()).count());
		figures.put("billed", bills.size());
		figures.put("billed_twice", bills.values().stream().filter((contents) -> contents.size() > 1).count());
		figures.put("unbilled", unbilled(bills.keySet()));
		figures.put("disallowed_runs", this.standins.executionRecorder().runs(this::disallowed).size());
		figures.put("withdrawn_new_work", this.standins.executionRecorder().runs(this::afterWithdrawal).size());
		figures.put("executed_twice", this.standins.executionRecorder().duplicatedKeyCount());
		figures.put("refused_but_executed", refusedButExecuted());
		figures.put("cut_off", this.sent.stream().filter((one) -> one.reply().cutOff()).count());
		figures.put("wrong_answers", this.sent.stream().filter(this::wrong).count());
		return figures;
	}

	/**
	 * Returns whether figures of {@link #count} show every promise kept.
	 * @param figures the figures
	 * @return whether nothing was lost, billed twice, unbilled, run against a rule,
	 * executed twice, run though refused, or answered with another's answer
	 */
	public static boolean kept(ObjectNode figures) {
		return List
			.of("lost", "billed_twice", "unbilled", "disallowed_runs", "withdrawn_new_work", "executed_twice",
					"refused_but_executed", "cut_off", "wrong_answers")
			.stream()
			.allMatch((field) -> figures.path(field).isNumber() && figures.path(field).asLong() == 0);
	}

	private long unbilled(Set<String> billed) {
		return this.sent.stream()
			.filter((one) -> one.reply().answered() && one.idempotencyKey().isEmpty())
			.filter((one) -> !billed.contains(one.reply().request().orElse("")))
			.count();
	}

	private Map<String, Set<String>> bills() {
		Map<String, Set<String>> contents = new HashMap<>();
		for (LogRecord record : this.standins.log().records(PlatformLog.BILLS)) {
			JsonNode root = parse(record.payload());
			for (JsonNode bill : root.isArray() ? root : List.of(root)) {
				contents.computeIfAbsent(bill.path("request").asText(), (request) -> new HashSet<>())
					.add(bill.path("cost").asText() + '/' + bill.path("tokens").asText() + '/'
							+ bill.path("version").asText());
			}
		}
		return contents;
	}

	private static JsonNode parse(byte[] payload) {
		try {
			return Json.mapper().readTree(payload);
		}
		catch (IOException ex) {
			return Json.mapper().missingNode();
		}
	}

	private boolean disallowed(EngineRun run) {
		Selector allowed = this.allowedByAccount.get(run.account());
		Labels labels = this.labelsByVersion.get(run.version());
		return allowed == null || labels == null || !allowed.matches(labels);
	}

	private boolean afterWithdrawal(EngineRun run) {
		Long at = this.withdrawnAtMillis.get(run.version());
		return at != null && run.startedAtMillis() > at;
	}

	private long refusedButExecuted() {
		Set<String> ran = new HashSet<>();
		this.standins.executionRecorder().runs().forEach((run) -> ran.add(run.request()));
		this.standins.executionRecorder()
			.executions()
			.stream()
			.map(ExecutionRecorder.Execution::request)
			.forEach(ran::add);
		return this.sent.stream()
			.filter((one) -> one.reply().refused() && "none".equals(one.reply().error().path("executed").asText()))
			.filter((one) -> ran.contains(one.reply().request().orElse("")))
			.count();
	}

	private boolean wrong(Sent one) {
		if (!one.reply().answered() || !one.idempotencyKey().isEmpty()) {
			return false;
		}
		String request = one.reply().request().orElse("");
		String version = one.reply().header("x-sequoialink-version").orElse("");
		List<EngineRun> runs = this.standins.executionRecorder()
			.runs((run) -> run.request().equals(request) && run.version().equals(version));
		return runs.stream()
			.noneMatch((run) -> one.reply()
				.text()
				.contains(this.standins.outcomes().qualityMarker(request, run.requestClass(), version)));
	}

	private record Sent(String account, String idempotencyKey, Caller.Reply reply) {
	}

}
