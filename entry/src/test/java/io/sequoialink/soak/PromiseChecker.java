package io.sequoialink.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Records what clients sent and received and what backend servers executed, and checks
 * each event against the guarantees listed at {@link Violation} as it is recorded. Keeps
 * every request of the run in memory. Thread-safe.
 */
final class PromiseChecker {

	private static final Logger logger = LoggerFactory.getLogger(PromiseChecker.class);

	/** Statuses with which a host guarantees that no server executed the request. */
	private static final Set<Integer> NOT_EXECUTED_STATUSES = Set.of(408, 421, 429, 503);

	/**
	 * Number of cases in a run that are tolerated for each of the rules LOST and BUDGET
	 * (see {@link Violation}); only undisturbed hosts count.
	 */
	private static final int MAX_LOST_CASES = 3;

	/**
	 * Number of cases in a run that are tolerated for each other rule with a time limit:
	 * late responses, late arrivals at a server, and work for a client that has
	 * disconnected.
	 */
	private static final int MAX_LATE_CASES = 8;

	/**
	 * Longest Retry-After, in seconds, that a request may get which does not crash
	 * servers.
	 */
	private static final double MAX_RETRY_AFTER_SECONDS = 10;

	/**
	 * Smallest share of the final requests that must succeed; it is below 1 because the
	 * simulated servers let a few requests fail or hang even without faults.
	 */
	private static final double MIN_SERVED_SHARE = 0.85;

	/** Number of runs of a request at a server that has run it before. */
	private static final String REPEATS = "repeated at the same server";

	private static final String SUCCESSES_AFTER_FAILURE = "successes after a failed run at the same server";

	private final DisturbanceTracker disturbances;

	private final LongSupplier clock;

	private final Map<String, TrackedRequest> requests = new HashMap<>();

	private final Map<String, List<Long>> crashes = new HashMap<>();

	private final Map<String, Integer> counts = new TreeMap<>();

	private final List<Violation> violations = new ArrayList<>();

	private final ServerSignals signals;

	private final NamedLimits limits;

	private final CrashingParts parts;

	private final ServerRuns runs = new ServerRuns();

	private final FirstTries firstTries = new FirstTries();

	/** Time at which the store accepted the evacuation of each evacuated zone. */
	private final Map<String, Long> evacuated = new HashMap<>();

	private int falls;

	private int brittleServers;

	private int fragileTurnedAway;

	private int undisturbedTurnedAway;

	PromiseChecker(DisturbanceTracker disturbances, LongSupplier clock) {
		this.disturbances = disturbances;
		this.clock = clock;
		this.signals = new ServerSignals(clock);
		this.limits = new NamedLimits(clock);
		this.parts = new CrashingParts(clock);
		this.counts.put(REPEATS, 0);
		this.counts.put(SUCCESSES_AFTER_FAILURE, 0);
	}

	synchronized TrackedRequest recordSent(String id, TrackedRequest.Kind kind, String account, String host,
			String path) {
		TrackedRequest request = new TrackedRequest(id, kind, account, host, path, this.clock.getAsLong());
		this.requests.put(id, request);
		increment("sent");
		return request;
	}

	/**
	 * Records that a server starts to execute a request, and checks that the request was
	 * allowed to be executed there.
	 * @param id identifier of the request
	 * @param server name of the server
	 * @param service service of the server
	 * @param head the request as it arrived
	 * @return the seal of this run, with which the server marks all answers of it
	 */
	synchronized String recordExecution(String id, String server, String service, HttpMessages.Head head) {
		TrackedRequest request = this.requests.get(id);
		if (request == null) {
			reportViolation("UNASKED", id, "no client sent this request");
		}
		else {
			checkExecution(request, server, service, head);
		}
		return this.runs.begin(id, server);
	}

	/**
	 * Records what a server answers, before it does; the first answer of a run counts.
	 * @param seal seal of the run
	 * @param status status code
	 * @param body body of the answer, empty if it is a stream of events
	 */
	synchronized void recordAnswer(String seal, int status, Optional<String> body) {
		this.runs.answered(seal, status, body);
	}

	/**
	 * Records that a server answers with something that is no answer in the protocol, or
	 * with a part that looks whole.
	 * @param id identifier of the request
	 * @param seal seal of the run
	 * @param how name of the counter
	 */
	synchronized void recordBroken(String id, String seal, String how) {
		this.runs.broken(seal);
		increment(how);
		recordBrokenOff(id);
	}

	/**
	 * Records that a client got something that is no response in the protocol.
	 * @param request the request
	 * @param detail what is wrong with it
	 */
	synchronized void recordMalformedResponse(TrackedRequest request, String detail) {
		reportViolation("MIXED", request.id, "got what is no response: " + detail);
	}

	private void checkExecution(TrackedRequest request, String server, String service, HttpMessages.Head head) {
		String id = request.id;
		if (!request.kind.retryable && request.executions > 0) {
			reportViolation("TWICE", id, "executed by " + server + " after " + request.servers);
		}
		if (!request.kind.retryable && NOT_EXECUTED_STATUSES.contains(request.status)) {
			reportViolation("REFUSED", id, "executed by " + server + " after status " + request.status);
		}
		request.executions++;
		if (!request.servers.add(server)) {
			increment(REPEATS);
		}
		if (!request.kind.service.equals(service) || !head.path().equals(request.path)) {
			reportViolation("ROUTE", id, head.path() + " was executed by service " + service);
		}
		checkForwardedHeaders(request, head);
		if (request.kind.retryable && request.executions > Bounds.MAX_ATTEMPTS) {
			reportViolation("BUDGET", id, "executed " + request.executions + " times");
		}
		if (disconnected(request, Bounds.CANCEL_MILLIS) && hostUndisturbed(request.host, request.sentNanos)) {
			reportToleratedCase("GONE", id, "reached " + server + " after its client had disconnected");
		}
	}

	/**
	 * Records that the body of a request crashed the server that executed it, and checks
	 * that hosts reject the body from {@link Bounds#STABILIZATION_MILLIS} after its third
	 * crash on. A few cases are tolerated.
	 * @param id identifier of the request
	 * @param body body of the request
	 */
	synchronized void recordCrash(String id, String body) {
		increment("crashed by request body");
		TrackedRequest request = this.requests.get(id);
		List<Long> before = this.crashes.computeIfAbsent(body, (key) -> new ArrayList<>());
		boolean late = before.size() >= 3
				&& this.clock.getAsLong() - before.get(2) > Bounds.millisToNanos(Bounds.STABILIZATION_MILLIS);
		if (late && hostUndisturbed(request.host, before.get(2))
				&& this.disturbances.undisturbedSince("store", before.get(2))) {
			reportToleratedCase("BUDGET", id, "'" + body + "' was executed again after " + before.size() + " crashes");
		}
		before.add(this.clock.getAsLong());
	}

	/**
	 * Records that a request is sent whose prompt has a part that crashes servers.
	 * @param request the request
	 * @param part the part
	 */
	synchronized void recordCrashingPart(TrackedRequest request, String part) {
		increment("sent with a crashing prompt part");
		request.crashingPart = part;
		this.parts.sent(part, request.account);
	}

	/**
	 * Records that a prompt part of a request crashes the server that executes it.
	 * @param id identifier of the request
	 */
	synchronized void recordPartCrash(String id) {
		increment("crashed by prompt part");
		find(id).ifPresent((request) -> this.parts.crashed(request.crashingPart));
	}

	/**
	 * Records that a server breaks off its response to a request.
	 * @param id identifier of the request
	 */
	synchronized void recordBrokenOff(String id) {
		increment("broken off by server");
		find(id).ifPresent((request) -> request.brokenOff = true);
	}

	private void checkPartArrival(TrackedRequest request) {
		boolean storeUndisturbed = this.disturbances.undisturbedSince("store", request.sentNanos);
		if (!request.crashingPart.isEmpty()) {
			this.parts
				.checkArrival(request.crashingPart, (since) -> storeUndisturbed && hostUndisturbed(request.host, since))
				.ifPresent((exceeded) -> reportViolation("BUDGET", request.id, exceeded));
		}
	}

	private void recordHarmlessEnd(TrackedRequest request, boolean served) {
		if (request.kind == TrackedRequest.Kind.STREAM && request.crashingPart.isEmpty()
				&& hostUndisturbed(request.host, request.sentNanos)) {
			this.parts.harmlessEnded(request.account, request.sentNanos, served);
		}
	}

	private void checkForwardedHeaders(TrackedRequest request, HttpMessages.Head head) {
		if (head.header(HeaderNames.CREDENTIAL).isPresent() || head.header(HeaderNames.HOLD).isPresent()) {
			reportViolation("UNASKED", request.id, "a client's API key or hold header was forwarded");
		}
		if (!head.header(HeaderNames.ACCOUNT).equals(Optional.of(request.account))) {
			reportViolation("UNASKED", request.id, "forwarded with account " + head.header(HeaderNames.ACCOUNT));
		}
	}

	/**
	 * Records that a server is still working on a request, and checks that its client has
	 * not been gone for longer than a cancellation may take. Reports a request once for
	 * each disconnection.
	 * @param id identifier of the request
	 * @param server name of the server
	 */
	synchronized void recordWorking(String id, String server) {
		TrackedRequest request = this.requests.get(id);
		if (request != null && disconnected(request, Bounds.CANCEL_MILLIS) && !this.firstTries.cutOff(request.host)
				&& hostUndisturbed(request.host, request.sentNanos)
				&& this.disturbances.undisturbedSince(server, request.sentNanos)) {
			reportToleratedCase("GONE", id, server + " is still working after the client disconnected");
			request.disconnectedNanos = 0;
		}
	}

	private boolean disconnected(TrackedRequest request, long millis) {
		return request.disconnectedNanos != 0
				&& this.clock.getAsLong() - request.disconnectedNanos > Bounds.millisToNanos(millis);
	}

	// A host must keep time limits only if it was undisturbed for some time before.
	private boolean hostUndisturbed(String host, long sinceNanos) {
		return this.disturbances.undisturbedSince(host, sinceNanos - Bounds.millisToNanos(Bounds.STABILIZATION_MILLIS));
	}

	synchronized void recordDisconnect(TrackedRequest request) {
		request.disconnectedNanos = this.clock.getAsLong();
		increment("client disconnected early");
	}

	/**
	 * Records that hosts are cut off from all servers, which is no disturbance.
	 * @param hosts names of the hosts
	 */
	synchronized void recordCut(Set<String> hosts) {
		increment("hosts cut off");
		this.firstTries.begin(hosts, this.clock.getAsLong());
	}

	/**
	 * Records that no host is cut off any more, and checks how first tries fared.
	 */
	synchronized void recordCutEnded() {
		this.counts.merge("first tries at cut-off hosts", this.firstTries.sent(), Integer::sum);
		this.counts.merge("first tries at cut-off hosts, served", this.firstTries.served(), Integer::sum);
		Optional<String> broken = this.firstTries.end();
		logger.info("{}", this.firstTries.summary());
		broken.ifPresent((detail) -> reportViolation("RECOVER", "cut", detail));
	}

	// Hosts that read an unstable store may know different servers.
	private boolean inTouch(String host, long sinceNanos) {
		return hostUndisturbed(host, sinceNanos) && hostUndisturbed("store", sinceNanos);
	}

	private void recordFirstTry(TrackedRequest request, boolean served) {
		boolean plain = request.kind != TrackedRequest.Kind.SMALL && request.kind != TrackedRequest.Kind.PAIR;
		if (request.firstTry && plain && inTouch(request.host, request.sentNanos)) {
			this.firstTries.ended(request.host, request.sentNanos, served);
		}
	}

	/**
	 * Records that a host did not take a connection.
	 * @param host name of the host
	 * @param firstTry whether it was for a client's first try
	 */
	synchronized void recordRefusedConnection(String host, boolean firstTry) {
		long now = this.clock.getAsLong();
		if (firstTry && inTouch(host, now)) {
			this.firstTries.ended(host, now, false);
		}
	}

	/**
	 * Records that servers say from now on that they are brittle.
	 * @param servers number of the servers
	 */
	synchronized void recordBrittle(int servers) {
		increment("brittle servers");
		this.brittleServers = servers;
		this.falls = 0;
	}

	/**
	 * Records that a server turned a request away for want of room.
	 * @param id identifier of the request
	 * @param server name of the server
	 */
	synchronized void recordTurnedAway(String id, String server) {
		increment("turned away");
		this.fragileTurnedAway++;
		this.undisturbedTurnedAway += find(id).filter((request) -> inTouch(request.host, request.sentNanos)).isPresent()
				? 1 : 0;
	}

	/**
	 * Records that a brittle server falls over. The fall counts if most of what was
	 * turned away since the last came from undisturbed hosts.
	 * @param server name of the server
	 */
	synchronized void recordFall(String server) {
		increment("falls of brittle servers");
		this.falls += (2 * this.undisturbedTurnedAway > this.fragileTurnedAway) ? 1 : 0;
		this.fragileTurnedAway = 0;
		this.undisturbedTurnedAway = 0;
	}

	/**
	 * Records that the servers are no longer brittle, and checks how often they fell.
	 */
	synchronized void recordBrittleEnded() {
		int allowed = 2 + this.brittleServers / 10;
		if (this.falls > allowed) {
			reportViolation("LIMIT", "brittle", this.falls + " falls of " + this.brittleServers + " brittle servers");
		}
	}

	/**
	 * Records that a client received a complete response.
	 * @param request the request
	 * @param status status code
	 */
	synchronized void recordResponse(TrackedRequest request, int status) {
		request.status = status;
		increment("status " + status);
		recordHarmlessEnd(request, status == 200);
		recordFirstTry(request, status == 200);
		if (!request.kind.retryable && NOT_EXECUTED_STATUSES.contains(status) && request.executions > 0) {
			reportViolation("REFUSED", request.id, "status " + status + " after execution by " + request.servers);
		}
		checkResponseTime(request);
	}

	/**
	 * Records that a client's connection ended before the response was complete. A host
	 * that is stopping gracefully must not break the connection of a request that was
	 * executed or is older than 200 ms. A host that is not stopping must not break the
	 * connection of an executed request, but a few cases are tolerated. A request whose
	 * response a server broke off does not count.
	 * @param request the request
	 * @param stopping whether the host was stopping gracefully at that time
	 */
	synchronized void recordBrokenConnection(TrackedRequest request, boolean stopping) {
		increment(stopping ? "connection broken while host was stopping" : "connection broken");
		recordHarmlessEnd(request, false);
		recordFirstTry(request, false);
		boolean serversUndisturbed = request.servers.stream()
			.allMatch((server) -> this.disturbances.undisturbedSince(server, request.sentNanos));
		long waited = this.clock.getAsLong() - request.sentNanos;
		boolean inTime = waited < Bounds.millisToNanos(Bounds.REQUEST_TIMEOUT_MILLIS);
		if (request.brokenOff || !serversUndisturbed || !inTime || !hostUndisturbed(request.host, request.sentNanos)) {
			return;
		}
		if (stopping && (request.executions > 0 || waited > Bounds.millisToNanos(200))) {
			reportViolation("LOST", request.id,
					"connection broken by " + request.host + " while it was stopping, executed by " + request.servers);
		}
		else if (request.executions > 0) {
			reportToleratedCase("LOST", request.id,
					"connection broken by " + request.host + ", executed by " + request.servers);
		}
	}

	private void checkResponseTime(TrackedRequest request) {
		long late = this.clock.getAsLong() - request.sentNanos
				- Bounds.millisToNanos(Bounds.REQUEST_TIMEOUT_MILLIS + Bounds.RESPONSE_GRACE_MILLIS);
		if (late > 0 && hostUndisturbed(request.host, request.sentNanos)) {
			reportToleratedCase("CONFIG", request.id, "response came " + late / 1_000_000 + " ms too late");
		}
	}

	/**
	 * Records that a client gave up because no response came within its timeout.
	 * @param request the request
	 */
	synchronized void recordTimeout(TrackedRequest request) {
		increment("timed out at the client");
		recordHarmlessEnd(request, false);
		recordFirstTry(request, false);
		checkResponseTime(request);
	}

	/**
	 * Checks the status line and headers of a response at the client.
	 * @param request the request
	 * @param status status code
	 * @param seal value of the header by which a server marks all answers of one run;
	 * empty if the host created the response itself
	 * @param retryAfterSeconds Retry-After time in seconds, 0 if there is none
	 * @param harmless whether the request does not crash servers
	 */
	synchronized void checkResponseHead(TrackedRequest request, int status, Optional<String> seal,
			double retryAfterSeconds, boolean harmless) {
		this.runs.wrongHead(request.id, status, seal).ifPresent((wrong) -> reportViolation("MIXED", request.id, wrong));
		if (request.servers.size() < request.executions && seal.filter(this.runs::succeededAfterFailure).isPresent()) {
			increment(SUCCESSES_AFTER_FAILURE);
		}
		if (harmless && retryAfterSeconds > MAX_RETRY_AFTER_SECONDS) {
			reportViolation("INNOCENT", request.id,
					"harmless request got a Retry-After of " + retryAfterSeconds + " s");
		}
	}

	/**
	 * Checks the complete body of a response other than an event stream.
	 * @param request the request
	 * @param seal seal of the response, empty if the host created it itself
	 * @param text the body
	 */
	synchronized void checkResponseBody(TrackedRequest request, Optional<String> seal, String text) {
		this.runs.wrongBody(seal, text).ifPresent((wrong) -> reportViolation("MIXED", request.id, wrong));
	}

	/**
	 * Checks that a request may still reach a server that shuts down, that asked hosts to
	 * back off, or that named a limit.
	 * @param id identifier of the request
	 * @param server name of the server
	 * @param drainAcceptedNanos monotonic time at which the store accepted the record
	 * that the server drains, 0 if it does not drain
	 */
	synchronized void checkArrival(String id, String server, long drainAcceptedNanos) {
		TrackedRequest request = this.requests.get(id);
		if (request != null) {
			checkSignals(request, server);
			checkLimit(request, server);
			checkPartArrival(request);
		}
		boolean late = drainAcceptedNanos != 0
				&& this.clock.getAsLong() - drainAcceptedNanos > Bounds.millisToNanos(Bounds.DRAIN_MILLIS);
		if (late && request != null && hostUndisturbed(request.host, drainAcceptedNanos)
				&& hostUndisturbed("store", drainAcceptedNanos) && hostUndisturbed(server, drainAcceptedNanos)) {
			reportViolation("DRAIN", id, "reached " + server + " later than a draining server may get requests");
		}
	}

	/**
	 * Records that the store has accepted the evacuation of a zone.
	 * @param zone name of the zone
	 */
	synchronized void recordEvacuated(String zone) {
		increment("zones evacuated");
		this.evacuated.put(zone, this.clock.getAsLong());
	}

	synchronized void recordEvacuationEnded(String zone) {
		this.evacuated.remove(zone);
	}

	/**
	 * Checks that a request may still reach the servers of a zone.
	 * @param id identifier of the request
	 * @param server name of the server
	 * @param zone zone of the server
	 */
	synchronized void checkZoneArrival(String id, String server, String zone) {
		Long accepted = this.evacuated.get(zone);
		if (accepted == null || this.clock.getAsLong() - accepted <= Bounds.millisToNanos(Bounds.EVACUATION_MILLIS)) {
			return;
		}
		find(id)
			.filter((request) -> hostUndisturbed(request.host, accepted) && hostUndisturbed("store", accepted)
					&& hostUndisturbed(server, accepted))
			.ifPresent((request) -> reportViolation("EVAC", id,
					"reached " + server + " later than servers of evacuated zone " + zone + " may get requests"));
	}

	/**
	 * Records that a server announced its shutdown to the host that forwarded a request.
	 * @param id identifier of the request
	 * @param server name of the server
	 */
	synchronized void recordShutdownNotice(String id, String server) {
		find(id).ifPresent((request) -> this.signals.recordShutdown(server, request.host));
	}

	/**
	 * Records that a server asked the host that forwarded a request to back off.
	 * @param id identifier of the request
	 * @param server name of the server
	 * @param millis duration of the back-off in milliseconds
	 */
	synchronized void recordBackoffRequest(String id, String server, long millis) {
		increment("back-off requested by server");
		find(id).ifPresent((request) -> this.signals.recordBackoff(server, request.host,
				this.clock.getAsLong() + Bounds.millisToNanos(millis)));
	}

	synchronized void recordColdArrival() {
		increment("requests to cold servers");
	}

	/**
	 * Records that a server names a limit from now on.
	 * @param server name of the server
	 * @param perSecond requests per second from all hosts together
	 */
	synchronized void recordLimit(String server, double perSecond) {
		increment("limit named by server");
		this.limits.begin(server, perSecond);
	}

	synchronized void recordLimitEnded(String server) {
		this.limits.end(server);
	}

	/**
	 * Records that a server told the host that forwarded a request of its limit.
	 * @param id identifier of the request
	 * @param server name of the server
	 */
	synchronized void recordLimitTold(String id, String server) {
		find(id).ifPresent((request) -> this.limits.told(server, request.host));
	}

	private void checkLimit(TrackedRequest request, String server) {
		long windowStart = this.clock.getAsLong() - Bounds.millisToNanos(Bounds.LIMIT_WINDOW_MILLIS);
		this.limits.checkArrival(server, request.host, (host) -> hostUndisturbed(host, windowStart))
			.ifPresent((exceeded) -> reportViolation("LIMIT", request.id, exceeded));
	}

	private void checkSignals(TrackedRequest request, String server) {
		this.signals.checkArrival(server, request.host)
			.filter((ignored) -> hostUndisturbed(request.host, ignored.sinceNanos()))
			.ifPresent((ignored) -> reportViolation(ignored.rule(), request.id,
					"reached " + server + " although it had signalled shutdown or back-off to " + request.host));
	}

	/**
	 * Checks that a host has applied a configuration change, after the time in which it
	 * had to do so.
	 * @param host name of the host
	 * @param change the change
	 * @param result statuses with which the host responded to the probe requests
	 */
	synchronized void checkProbe(String host, Operator.Change change, ProbeResult result) {
		boolean undisturbed = hostUndisturbed(host, change.acknowledgedNanos())
				&& hostUndisturbed("store", change.acknowledgedNanos());
		if (undisturbed && result.contradicts(change)) {
			reportViolation("CONFIG", host, change + " was answered with " + result);
		}
	}

	/**
	 * Checks that a host has the last change before a calm in force. Nothing but a
	 * disturbance of the host itself excuses it, since the caller has waited.
	 * @param host name of the host
	 * @param change the change
	 * @param result statuses with which the host responded to the probe requests
	 */
	synchronized void checkLastChange(String host, Operator.Change change, ProbeResult result) {
		increment("last change probed");
		if (hostUndisturbed(host, this.clock.getAsLong()) && result.contradicts(change)) {
			reportViolation("CONFIG", host, "last change before a calm: " + change + " was answered with " + result);
		}
	}

	/**
	 * Checks that requests succeed again at the end of the run, some time after the last
	 * fault.
	 * @param served number of requests that succeeded
	 * @param sent number of requests that were sent
	 */
	synchronized void checkRecovery(int served, int sent) {
		logger.info("requests served after the last fault: {} of {}", served, sent);
		this.parts.checkHarmless().ifPresent((violated) -> reportViolation("LOST", "end", violated));
		if (served < MIN_SERVED_SHARE * sent) {
			reportViolation("RECOVER", "end", served + " of " + sent + " served");
		}
	}

	// Logs and counts a case of a rule that tolerates a small number of cases. Reports a
	// violation once, when the count first exceeds the rule's limit.
	private void reportToleratedCase(String rule, String id, String detail) {
		int cases = increment(rule + " cases");
		logger.warn("{} case {}: request {}: {}", rule, cases, id, detail);
		int allowed = (rule.equals("LOST") || rule.equals("BUDGET")) ? MAX_LOST_CASES : MAX_LATE_CASES;
		if (cases == allowed + 1) {
			reportViolation(rule, id, "more than " + allowed + " cases; last case: " + detail);
		}
	}

	synchronized void reportViolation(String rule, String id, String detail) {
		logger.error("promise {} broken: {}: {}", rule, id, detail);
		this.violations.add(new Violation(rule, id + ": " + detail));
	}

	synchronized int increment(String counter) {
		return this.counts.merge(counter, 1, Integer::sum);
	}

	synchronized int count(String counter) {
		return this.counts.getOrDefault(counter, 0);
	}

	synchronized Optional<TrackedRequest> find(String id) {
		return Optional.ofNullable(this.requests.get(id));
	}

	synchronized List<Violation> violations() {
		return List.copyOf(this.violations);
	}

	synchronized Map<String, Integer> counts() {
		return new TreeMap<>(this.counts);
	}

}
