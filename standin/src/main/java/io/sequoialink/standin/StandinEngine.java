package io.sequoialink.standin;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.sequoialink.model.BackendServer;
import io.sequoialink.model.LoadReport;
import io.sequoialink.model.RequestId;
import io.sequoialink.model.ServerId;
import io.sequoialink.model.ServerKind;
import io.sequoialink.remote.EngineClient.EngineRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Simulates a model engine with continuous batching, a prompt prefix cache, priorities,
 * cancellation, resumption of partial answers, delayed load reports, administrative
 * commands with fencing tokens (see {@link EngineOrder}), and faults that can be switched
 * on while it runs. Thread-safe; commands are guarded by this object's monitor, which is
 * acquired before that of the queue or cache.
 */
public final class StandinEngine extends StandinServer {

	/** Factor by which {@link EngineFault#SLOW} extends the time of an answer. */
	public static final double SLOW_FACTOR = 5;

	private static final Logger LOG = LoggerFactory.getLogger(StandinEngine.class);

	private final EngineSettings settings;

	private final SimulatedOutcomes outcomes;

	private final ExecutionRecorder executionRecorder;

	private final long seed;

	private final LongSupplier clockMillis;

	private final BatchQueue batch;

	private final PromptPrefixCache prefixCache;

	private final Map<String, EngineRun> activeRuns = new ConcurrentHashMap<>();

	private final Map<EngineFault, Double> faultShares = new ConcurrentHashMap<>();

	private final Map<String, Double> failureShares = new ConcurrentHashMap<>();

	private final Set<String> loadedVersions = ConcurrentHashMap.newKeySet();

	private final List<EngineOrder> appliedOrders = new CopyOnWriteArrayList<>();

	private final CountDownLatch closeLatch = new CountDownLatch(1);

	private volatile CountDownLatch pauseLatch = new CountDownLatch(0);

	private long lastFencing = -1;

	private volatile String role = "serve";

	/**
	 * Creates an engine that is not started.
	 * @param settings the settings of the engine
	 * @param outcomes decides the quality and length of the answers
	 * @param executionRecorder records the runs and crashes
	 * @param seed seed that decides which attempts the faults hit
	 * @param clockMillis clock that dates runs and load samples, epoch milliseconds
	 */
	public StandinEngine(EngineSettings settings, SimulatedOutcomes outcomes, ExecutionRecorder executionRecorder,
			long seed, LongSupplier clockMillis) {
		this.settings = settings;
		this.outcomes = outcomes;
		this.executionRecorder = executionRecorder;
		this.seed = seed;
		this.clockMillis = clockMillis;
		this.batch = new BatchQueue(settings.batchCapacity(), settings.maxQueued(), clockMillis);
		this.prefixCache = new PromptPrefixCache(settings.maxCachedPrefixes());
		this.loadedVersions.addAll(settings.versions());
	}

	/**
	 * Sets the share of answers that a fault hits.
	 * @param fault the fault to inject
	 * @param share the share in [0, 1]; 0 turns the fault off
	 */
	public void setFaultShare(EngineFault fault, double share) {
		this.faultShares.put(fault, share);
	}

	/**
	 * Makes all later runs wait before their first token until answers are resumed;
	 * streams that have begun go on.
	 */
	public void pauseAnswers() {
		this.pauseLatch = new CountDownLatch(1);
	}

	/**
	 * Lets all waiting runs send their answers, and ends the wait for later runs.
	 */
	public void resumeAnswers() {
		this.pauseLatch.countDown();
	}

	/**
	 * Sets the share of a version's runs that fail with status 500.
	 * @param version the identifier of the version
	 * @param share the share in [0, 1]
	 */
	public void setFailureShare(String version, double share) {
		this.failureShares.put(version, share);
	}

	/**
	 * Returns the administrative commands that this engine carried out.
	 * @return a copy of the commands, the oldest first
	 */
	public List<EngineOrder> appliedOrders() {
		return List.copyOf(this.appliedOrders);
	}

	/**
	 * Returns the entry of this engine for the platform's list of servers.
	 * @return the entry with the versions now loaded, not marked as shutting down
	 */
	public BackendServer directoryEntry() {
		return new BackendServer(new ServerId(this.settings.id()), ServerKind.ENGINE, address().ip(), address().port(),
				this.settings.zone(), this.loadedVersions, false);
	}

	@Override
	public void close() {
		this.closeLatch.countDown();
		super.close();
	}

	@Override
	void handle(Exchange exchange) throws IOException, InterruptedException {
		switch (exchange.path()) {
			case "/v1/generate" -> generate(exchange, exchange.readJson(EngineRequest.class));
			case "/v1/cancel" -> cancel(exchange, exchange.readJson(Cancellation.class));
			case "/v1/load" -> exchange.respond(200, loadReport());
			case "/v1/orders" -> handleOrder(exchange);
			default -> exchange.rejectUnexecuted(404, "no such path");
		}
	}

	private void generate(Exchange exchange, EngineRequest request) throws IOException, InterruptedException {
		if (!this.loadedVersions.contains(request.version().value())) {
			exchange.rejectUnexecuted(404, "version " + request.version() + " is not loaded");
			return;
		}
		if (!this.batch.acquireSlot(request.priority(), request.timeout().toMillis())) {
			exchange.rejectUnexecuted(503, "the queue is full or the time ran out");
			return;
		}
		try {
			run(exchange, request);
		}
		finally {
			this.batch.releaseSlot();
		}
	}

	private void run(Exchange exchange, EngineRequest request) throws IOException, InterruptedException {
		String key = attemptKey(request.request(), request.attempt());
		EngineRun run = new EngineRun(this.settings.id(), request, this.outcomes.meetsTarget(request.request().value(),
				requestClassOf(request), request.version().value()), this.clockMillis.getAsLong());
		this.executionRecorder.recordStart(run);
		this.activeRuns.put(key, run);
		try {
			if (request.messages()
				.stream()
				.anyMatch((message) -> message.content().contains(EngineSettings.CRASH_TRIGGER))) {
				crash(exchange, request);
			}
			if (faultApplies(EngineFault.FAIL, request)
					|| drawUniform("fail", request) < this.failureShares.getOrDefault(request.version().value(), 0.0)) {
				exchange.respondEffectUnknown(500, "the run failed");
				return;
			}
			this.pauseLatch.await();
			stream(exchange, request, run);
		}
		finally {
			this.activeRuns.remove(key, run);
		}
	}

	private void stream(Exchange exchange, EngineRequest request, EngineRun run)
			throws IOException, InterruptedException {
		OutcomeTable.Version version = this.outcomes.table().version(request.version().value());
		int fullLength = this.outcomes.answerTokens(request.request().value(), requestClassOf(request));
		int promptTokens = PromptPrefixCache.countTokens(request.messages());
		int cached = this.prefixCache.lookUpAndStore(version.id(), request.messages());
		double answerTimeScale = this.settings.timeScale()
				* (faultApplies(EngineFault.SLOW, request) ? SLOW_FACTOR : 1);
		double uncachedShare = 1 - (double) cached / promptTokens;
		AnswerStream answer = new AnswerStream(request, run,
				this.outcomes.qualityMarker(request.request().value(), requestClassOf(request), version.id()),
				(fault) -> faultApplies(fault, request));
		answer.setTiming(version.firstToken() * answerTimeScale * (1 + uncachedShare) / 2,
				version.betweenTokens() * answerTimeScale);
		answer.send(exchange, promptTokens, cached, Math.min(fullLength, request.maxTokens()),
				(fullLength > request.maxTokens()) ? "length" : "stop");
	}

	private void crash(Exchange exchange, EngineRequest request) throws IOException {
		LOG.info(StandinEvents.ENGINE_CRASHED, this.settings.id(), request.request());
		this.executionRecorder.recordCrash();
		this.prefixCache.clear();
		stop();
		Thread restart = new Thread(this::restart, "restart-" + this.settings.id());
		restart.setDaemon(true);
		restart.start();
		exchange.breakConnection();
	}

	private void restart() {
		try {
			if (!this.closeLatch.await(this.settings.restartDelayMillis(), TimeUnit.MILLISECONDS)) {
				start();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (IOException ex) {
			LOG.warn(StandinEvents.ENGINE_RESTART_FAILED, this.settings.id(), ex.getMessage());
		}
	}

	private void cancel(Exchange exchange, Cancellation cancellation) throws IOException {
		EngineRun run = this.activeRuns.get(attemptKey(cancellation.request(), cancellation.attempt()));
		if (run != null) {
			run.markCancelled();
		}
		exchange.respond(200, Map.of("cancelled", run != null));
	}

	private LoadReport loadReport() {
		BatchQueue.LoadSample sample = this.batch.loadBefore(this.settings.loadReportLagMillis());
		return new LoadReport(new ServerId(this.settings.id()), sample.running(), sample.queued(),
				this.batch.capacity(), sample.atMillis());
	}

	private void handleOrder(Exchange exchange) throws IOException, InterruptedException {
		if ("GET".equals(exchange.method())) {
			exchange.respond(200, new EngineState(Set.copyOf(this.loadedVersions), this.role, lastFencing()));
			return;
		}
		EngineOrder order = exchange.readJson(EngineOrder.class);
		if (!acceptFencing(order)) {
			exchange.rejectUnexecuted(409, "fencing number " + order.fencing() + " is older than " + lastFencing());
			return;
		}
		if (order.action() == EngineOrder.Action.LOAD) {
			Thread.sleep(this.settings.versionLoadMillis());
		}
		apply(order);
		exchange.respond(200, new EngineState(Set.copyOf(this.loadedVersions), this.role, lastFencing()));
	}

	private synchronized boolean acceptFencing(EngineOrder order) {
		if (this.settings.rejectsStaleFencing() && order.fencing() < this.lastFencing) {
			return false;
		}
		this.lastFencing = Math.max(this.lastFencing, order.fencing());
		return true;
	}

	private synchronized void apply(EngineOrder order) {
		switch (order.action()) {
			case LOAD -> this.loadedVersions.add(order.target());
			case UNLOAD -> this.loadedVersions.remove(order.target());
			case ROLE -> changeRole(order.target());
		}
		this.appliedOrders.add(order);
	}

	private void changeRole(String newRole) {
		this.role = newRole;
	}

	private synchronized long lastFencing() {
		return this.lastFencing;
	}

	private boolean faultApplies(EngineFault fault, EngineRequest request) {
		return drawUniform(fault.name(), request) < this.faultShares.getOrDefault(fault, 0.0);
	}

	private double drawUniform(String name, EngineRequest request) {
		return SeededRandom.uniform(this.seed, name, this.settings.id(), request.request(), request.attempt());
	}

	private static String requestClassOf(EngineRequest request) {
		return (request.requestClass() != null) ? request.requestClass().value() : "";
	}

	private static String attemptKey(RequestId request, int attempt) {
		return request + "/" + attempt;
	}

	/**
	 * JSON body of a cancellation. Immutable and thread-safe.
	 *
	 * @param request the identifier of the request
	 * @param attempt the number of the attempt to cancel
	 */
	record Cancellation(RequestId request, int attempt) {
	}

	/**
	 * JSON response to an administrative command: the state of the engine after it.
	 * Immutable and thread-safe.
	 *
	 * @param versions the versions that are loaded
	 * @param role the current role of the engine
	 * @param fencing the highest fencing token received with a command, -1 before the
	 * first command; see {@link EngineOrder}
	 */
	public record EngineState(Set<String> versions, String role, long fencing) {
	}

}
