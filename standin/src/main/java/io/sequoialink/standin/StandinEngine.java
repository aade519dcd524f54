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
 * A model engine: continuous batching, prefix cache, priorities, cancellation,
 * resumption, lagging load reports, orders with fencing numbers, and faults that are
 * switched while it runs. Thread-safe; orders are guarded by this object's monitor, which
 * is taken before that of a queue or cache.
 */
public final class StandinEngine extends StandinServer {

	/** How much longer a slow answer takes. */
	public static final double SLOW_FACTOR = 5;

	private static final Logger LOG = LoggerFactory.getLogger(StandinEngine.class);

	private final EngineSettings settings;

	private final Outcomes outcomes;

	private final Books books;

	private final long seed;

	private final LongSupplier clockMillis;

	private final BatchQueue batch;

	private final PrefixCache prefixes;

	private final Map<String, EngineRun> active = new ConcurrentHashMap<>();

	private final Map<EngineFault, Double> shares = new ConcurrentHashMap<>();

	private final Map<String, Double> failShares = new ConcurrentHashMap<>();

	private final Set<String> loaded = ConcurrentHashMap.newKeySet();

	private final List<EngineOrder> orders = new CopyOnWriteArrayList<>();

	private final CountDownLatch closed = new CountDownLatch(1);

	private volatile CountDownLatch held = new CountDownLatch(0);

	private long lastFencing = -1;

	private volatile String role = "serve";

	/**
	 * Creates an engine that is not up yet.
	 * @param settings its settings
	 * @param outcomes draws the quality of its answers
	 * @param books where its runs are counted
	 * @param seed seed of its faults
	 * @param clockMillis the clock, epoch milliseconds
	 */
	public StandinEngine(EngineSettings settings, Outcomes outcomes, Books books, long seed, LongSupplier clockMillis) {
		this.settings = settings;
		this.outcomes = outcomes;
		this.books = books;
		this.seed = seed;
		this.clockMillis = clockMillis;
		this.batch = new BatchQueue(settings.capacity(), settings.queueLimit(), clockMillis);
		this.prefixes = new PrefixCache(settings.prefixLimit());
		this.loaded.addAll(settings.versions());
	}

	/**
	 * Sets the share of answers that a fault hits.
	 * @param fault the fault
	 * @param share a share in [0, 1]
	 */
	public void fault(EngineFault fault, double share) {
		this.shares.put(fault, share);
	}

	/**
	 * Holds back all answers from now on, before their first token.
	 */
	public void hold() {
		this.held = new CountDownLatch(1);
	}

	/**
	 * Lets the answers go that were held back.
	 */
	public void release() {
		this.held.countDown();
	}

	/**
	 * Sets the share of one version's runs that fail.
	 * @param version the version
	 * @param share a share in [0, 1]
	 */
	public void failVersion(String version, double share) {
		this.failShares.put(version, share);
	}

	/**
	 * Returns the orders that were carried out.
	 * @return the orders in sequence
	 */
	public List<EngineOrder> orders() {
		return List.copyOf(this.orders);
	}

	/**
	 * Returns the engine as it stands on the platform's list.
	 * @return the server, not leaving
	 */
	public BackendServer server() {
		return new BackendServer(new ServerId(this.settings.id()), ServerKind.ENGINE, address().ip(), address().port(),
				this.settings.zone(), this.loaded, false);
	}

	@Override
	public void close() {
		this.closed.countDown();
		super.close();
	}

	@Override
	void handle(Exchange exchange) throws IOException, InterruptedException {
		switch (exchange.path()) {
			case "/v1/generate" -> generate(exchange, exchange.json(EngineRequest.class));
			case "/v1/cancel" -> cancel(exchange, exchange.json(Cancellation.class));
			case "/v1/load" -> exchange.answer(200, load());
			case "/v1/orders" -> order(exchange);
			default -> exchange.refuse(404, "no such path");
		}
	}

	private void generate(Exchange exchange, EngineRequest request) throws IOException, InterruptedException {
		if (!this.loaded.contains(request.version().value())) {
			exchange.refuse(404, "version " + request.version() + " is not loaded");
			return;
		}
		if (!this.batch.enter(request.priority(), request.timeout().toMillis())) {
			exchange.refuse(503, "the queue is full or the time ran out");
			return;
		}
		try {
			run(exchange, request);
		}
		finally {
			this.batch.leave();
		}
	}

	private void run(Exchange exchange, EngineRequest request) throws IOException, InterruptedException {
		String key = keyOf(request.request(), request.attempt());
		EngineRun run = new EngineRun(this.settings.id(), request,
				this.outcomes.meetsTarget(request.request().value(), classOf(request), request.version().value()),
				this.clockMillis.getAsLong());
		this.books.started(run);
		this.active.put(key, run);
		try {
			if (request.messages().stream().anyMatch((message) -> message.content().contains(EngineSettings.POISON))) {
				crash(exchange, request);
			}
			if (hit(EngineFault.FAIL, request)
					|| draw("fail", request) < this.failShares.getOrDefault(request.version().value(), 0.0)) {
				exchange.fail(500, "the run failed");
				return;
			}
			this.held.await();
			stream(exchange, request, run);
		}
		finally {
			this.active.remove(key, run);
		}
	}

	private void stream(Exchange exchange, EngineRequest request, EngineRun run)
			throws IOException, InterruptedException {
		OutcomeTable.Version version = this.outcomes.table().version(request.version().value());
		int drawn = this.outcomes.answerTokens(request.request().value(), classOf(request));
		int promptTokens = PrefixCache.tokens(request.messages());
		int cached = this.prefixes.use(version.id(), request.messages());
		double pace = this.settings.speed() * (hit(EngineFault.SLOW, request) ? SLOW_FACTOR : 1);
		double uncachedShare = 1 - (double) cached / promptTokens;
		AnswerStream answer = new AnswerStream(request, run,
				this.outcomes.mark(request.request().value(), classOf(request), version.id()),
				(fault) -> hit(fault, request));
		answer.pace(version.firstToken() * pace * (1 + uncachedShare) / 2, version.betweenTokens() * pace);
		answer.send(exchange, promptTokens, cached, Math.min(drawn, request.maxTokens()),
				(drawn > request.maxTokens()) ? "length" : "stop");
	}

	private void crash(Exchange exchange, EngineRequest request) throws IOException {
		LOG.info(StandinEvents.CRASHED, this.settings.id(), request.request());
		this.books.crashed();
		this.prefixes.clear();
		down();
		Thread restart = new Thread(this::restart, "restart-" + this.settings.id());
		restart.setDaemon(true);
		restart.start();
		exchange.breakConnection();
	}

	private void restart() {
		try {
			if (!this.closed.await(this.settings.restartMillis(), TimeUnit.MILLISECONDS)) {
				up();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (IOException ex) {
			LOG.warn(StandinEvents.RESTART_FAILED, this.settings.id(), ex.getMessage());
		}
	}

	private void cancel(Exchange exchange, Cancellation cancellation) throws IOException {
		EngineRun run = this.active.get(keyOf(cancellation.request(), cancellation.attempt()));
		if (run != null) {
			run.cancel();
		}
		exchange.answer(200, Map.of("cancelled", run != null));
	}

	private LoadReport load() {
		BatchQueue.Sample sample = this.batch.sample(this.settings.reportLagMillis());
		return new LoadReport(new ServerId(this.settings.id()), sample.running(), sample.queued(),
				this.batch.capacity(), sample.atMillis());
	}

	private void order(Exchange exchange) throws IOException, InterruptedException {
		if ("GET".equals(exchange.method())) {
			exchange.answer(200, new EngineState(Set.copyOf(this.loaded), this.role, lastFencing()));
			return;
		}
		EngineOrder order = exchange.json(EngineOrder.class);
		if (!admit(order)) {
			exchange.refuse(409, "fencing number " + order.fencing() + " is older than " + lastFencing());
			return;
		}
		if (order.action() == EngineOrder.Action.LOAD) {
			Thread.sleep(this.settings.loadMillis());
		}
		apply(order);
		exchange.answer(200, new EngineState(Set.copyOf(this.loaded), this.role, lastFencing()));
	}

	private synchronized boolean admit(EngineOrder order) {
		if (this.settings.checksFencing() && order.fencing() < this.lastFencing) {
			return false;
		}
		this.lastFencing = Math.max(this.lastFencing, order.fencing());
		return true;
	}

	private synchronized void apply(EngineOrder order) {
		switch (order.action()) {
			case LOAD -> this.loaded.add(order.target());
			case UNLOAD -> this.loaded.remove(order.target());
			case ROLE -> changeRole(order.target());
		}
		this.orders.add(order);
	}

	private void changeRole(String newRole) {
		this.role = newRole;
	}

	private synchronized long lastFencing() {
		return this.lastFencing;
	}

	private boolean hit(EngineFault fault, EngineRequest request) {
		return draw(fault.name(), request) < this.shares.getOrDefault(fault, 0.0);
	}

	private double draw(String name, EngineRequest request) {
		return Draws.unit(this.seed, name, this.settings.id(), request.request(), request.attempt());
	}

	private static String classOf(EngineRequest request) {
		return (request.requestClass() != null) ? request.requestClass().value() : "";
	}

	private static String keyOf(RequestId request, int attempt) {
		return request + "/" + attempt;
	}

	/**
	 * What a cancellation sends. Immutable and thread-safe.
	 *
	 * @param request the request
	 * @param attempt its attempt
	 */
	record Cancellation(RequestId request, int attempt) {
	}

	/**
	 * What an order answers. Immutable and thread-safe.
	 *
	 * @param versions the loaded versions
	 * @param role the engine's role
	 * @param fencing the highest fencing number seen, -1 before the first order
	 */
	public record EngineState(Set<String> versions, String role, long fencing) {
	}

}
