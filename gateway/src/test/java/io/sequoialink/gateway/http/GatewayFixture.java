package io.sequoialink.gateway.http;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;

import io.netty.channel.nio.NioEventLoopGroup;
import io.sequoialink.decision.cascade.ConfidenceCascade;
import io.sequoialink.decision.limits.ColdServers;
import io.sequoialink.decision.limits.LatencyPressure;
import io.sequoialink.decision.limits.RequestCostRatio;
import io.sequoialink.decision.limits.ServerLimits;
import io.sequoialink.decision.observation.SharedServerNotices;
import io.sequoialink.decision.retry.RetryBudget;
import io.sequoialink.gateway.admission.AdmissionControl;
import io.sequoialink.gateway.count.GatewayMetrics;
import io.sequoialink.gateway.crash.CrashCoordinator;
import io.sequoialink.gateway.crash.CulpritRecord;
import io.sequoialink.gateway.crash.CulpritStore;
import io.sequoialink.gateway.crash.HostCrashReport;
import io.sequoialink.gateway.crash.TraitCoordinator;
import io.sequoialink.gateway.crash.TraitGossip;
import io.sequoialink.gateway.feed.StoreReply;
import io.sequoialink.gateway.fleet.BackendService;
import io.sequoialink.gateway.fleet.ClientAccount;
import io.sequoialink.gateway.fleet.ClientLimits;
import io.sequoialink.gateway.fleet.Configuration;
import io.sequoialink.gateway.fleet.FleetView;
import io.sequoialink.gateway.fleet.ModelCost;
import io.sequoialink.gateway.fleet.RequestKind;
import io.sequoialink.gateway.fleet.RolloutStatus;
import io.sequoialink.gateway.fleet.Route;
import io.sequoialink.gateway.fleet.ServerEntry;
import io.sequoialink.gateway.fleet.StorePosition;
import io.sequoialink.gateway.fleet.WeightedService;
import io.sequoialink.gateway.path.HelpingHosts;
import io.sequoialink.gateway.path.OtherServers;
import io.sequoialink.gateway.path.ServerConnector;
import io.sequoialink.gateway.path.ServicePaths;
import io.sequoialink.gateway.path.TunnelServer;
import io.sequoialink.gateway.permit.FleetPermits;
import io.sequoialink.gateway.place.ColdServerTable;
import io.sequoialink.gateway.place.EvacuatedZones;
import io.sequoialink.gateway.place.LatencyBaseline;
import io.sequoialink.gateway.place.LoadBalancer;
import io.sequoialink.gateway.place.LowestLatencyBalancer;
import io.sequoialink.gateway.place.PrefillSpeed;
import io.sequoialink.gateway.place.ResponseNoticeListener;
import io.sequoialink.gateway.place.SelectedServer;
import io.sequoialink.gateway.place.ServerLimitTable;
import io.sequoialink.gateway.place.ServerNoticeTable;
import io.sequoialink.gateway.place.ServerTable;
import io.sequoialink.gateway.relay.GossipBudget;
import io.sequoialink.gateway.relay.Peer;
import io.sequoialink.gateway.rollout.HostRolloutReport;
import io.sequoialink.gateway.rollout.RolloutCoordinator;
import io.sequoialink.gateway.rollout.RolloutStore;

/**
 * A gateway on loopback in front of scripted backend servers. Paths: {@code /safe/}
 * idempotent with two attempts, {@code /once/} non-idempotent with two attempts, {@code
 * /stream/} resumable with three, {@code /firm/} a stream that must not be retried,
 * {@code /sized/} a stream with two models, {@code /firm-sized/} the same without
 * retries, {@code /brief/} idempotent with a timeout of 300 ms, {@code /brief-once/}
 * non-idempotent with the same.
 */
final class GatewayFixture implements AutoCloseable {

	static final ClientLimits LIMITS = new ClientLimits(2048, 10_000, 400, 1500);

	private final NioEventLoopGroup loops = new NioEventLoopGroup(1);

	private final List<ScriptedServer> servers = new ArrayList<>();

	private final FleetView view = new FleetView();

	private final List<HostCrashReport> published = new CopyOnWriteArrayList<>();

	private final StartupGate gate = new StartupGate();

	private final CrashCoordinator crashCoordinator = new CrashCoordinator("h",
			(seen, reply) -> this.published.add(seen),
			(work, millis) -> this.loops.schedule(work, millis, TimeUnit.MILLISECONDS), System::nanoTime, () -> {
			});

	private static final CulpritStore CULPRITS = new CulpritStore() {
		@Override
		public void write(CulpritRecord culprit, Consumer<StoreReply<Long>> reply) {
			reply.accept(StoreReply.of(1L));
		}

		@Override
		public void delete(Set<Long> traits) {
			// nothing is kept
		}
	};

	private final TraitCoordinator traitCoordinator = new TraitCoordinator(
			new TraitGossip(new Peer("h", "z", new InetSocketAddress(InetAddress.getLoopbackAddress(), 1)), List::of,
					Set::of, new GossipBudget(0, System::nanoTime), (to, datagram) -> {
					}, System::nanoTime, System::currentTimeMillis),
			CULPRITS, (work, millis) -> this.loops.schedule(work, millis, TimeUnit.MILLISECONDS), System::nanoTime,
			new SplittableRandom(5), Long::toHexString);

	private final GatewayMetrics counts = new GatewayMetrics();

	private final ServerLimits limits = new ServerLimits();

	private final ColdServers cold = new ColdServers();

	private final FleetPermits permits = new FleetPermits(
			new Peer("h", "z", new InetSocketAddress(InetAddress.getLoopbackAddress(), 1)), List::of, this.limits,
			this.cold, (to, datagram) -> {
			}, (work, millis) -> this.loops.schedule(work, millis, TimeUnit.MILLISECONDS), this.counts.permits(),
			Long::toHexString, System::nanoTime, new SplittableRandom(4));

	private final Set<String> restricted = ConcurrentHashMap.newKeySet();

	private final ResponseBufferLimit responseBuffers = new ResponseBufferLimit();

	private final LatencyBaseline latencyBaseline = new LatencyBaseline();

	private final List<HostRolloutReport> evidence = new CopyOnWriteArrayList<>();

	private final RolloutCoordinator rollouts = new RolloutCoordinator("h", new RolloutCoordinator.Options(0.1, 0),
			records(), System::nanoTime, new SplittableRandom(1));

	/** An address on loopback at which nothing listens. */
	private static final InetSocketAddress UNREACHABLE = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);

	private final ServicePaths paths = new ServicePaths(System::nanoTime);

	private final List<Peer> peers = new CopyOnWriteArrayList<>();

	private volatile InetSocketAddress cutOff;

	private volatile InetSocketAddress helpingHostDirectedTo;

	private TunnelServer helping;

	private final EvacuatedZones evacuated = new EvacuatedZones();

	private final EvacuatedZones evacuatedAtHelpingHost = new EvacuatedZones();

	private final FrontendServer frontend;

	private final ServerTable table;

	private volatile Consumer<SelectedServer> afterChoice = (placed) -> {
	};

	private ClientLimits clientLimits = LIMITS;

	private GatewayFixture() {
		TestHeaderMapping headerMapping = new TestHeaderMapping();
		this.table = new ServerTable(this.view,
				new ServerNoticeTable(System::nanoTime, new SplittableRandom(3), (server) -> true,
						ResponseNoticeListener.NONE),
				new SharedServerNotices(), new ServerLimitTable(this.limits), this.evacuated,
				new ColdServerTable(this.cold, this.view, System::nanoTime));
		PrefillSpeed speed = new PrefillSpeed();
		GatewayContext gateway = new GatewayContext(this.gate, this.view, this.table,
				observed(new LowestLatencyBalancer(this.table, speed, "z", this.permits, System::nanoTime,
						new SplittableRandom(1))),
				new ConfidenceCascade(ConfidenceCascade.Options.DEFAULT), new LatencyPressure(), new RequestCostRatio(),
				this.rollouts, speed, this.latencyBaseline, this.permits, new ReturnSchedule(new SplittableRandom(2)),
				new AdmissionControl(this.restricted::contains, this.table, this.counts.refusedForRoom(),
						(work, millis) -> this.loops.schedule(work, millis, TimeUnit.MILLISECONDS), System::nanoTime,
						new SplittableRandom(10)),
				new BackendPool(connector(), headerMapping, this.counts.unexpectedHeads()), headerMapping,
				new RetryBudget(1, 100, TimeUnit.SECONDS.toNanos(10)), this.crashCoordinator, this.traitCoordinator,
				this.responseBuffers, this.counts, System::nanoTime);
		this.frontend = new FrontendServer(gateway);
	}

	private ServerConnector connector() {
		Peer self = new Peer("h", "z", new InetSocketAddress(InetAddress.getLoopbackAddress(), 1));
		HelpingHosts hosts = new HelpingHosts(self, () -> this.peers, System::nanoTime, new SplittableRandom(6));
		return new ServerConnector(this.loops, (address) -> (this.cutOff != null) ? this.cutOff : address, this.paths,
				hosts, new OtherServers(this.view, new SplittableRandom(8)), this.counts.tunnels(), System::nanoTime);
	}

	/**
	 * Starts another host, which reaches all servers.
	 */
	void startHelpingHost() throws Exception {
		startHelpingHost("helper", (address) -> true);
	}

	void startHelpingHost(String name, Predicate<InetAddress> knownHost) throws Exception {
		ServerConnector connector = new ServerConnector(this.loops,
				(address) -> (this.helpingHostDirectedTo != null) ? this.helpingHostDirectedTo : address,
				new ServicePaths(System::nanoTime),
				new HelpingHosts(new Peer(name, "z", UNREACHABLE), List::of, System::nanoTime, new SplittableRandom(7)),
				new OtherServers(this.view, new SplittableRandom(9)), this.counts.tunnels(), System::nanoTime);
		this.helping = new TunnelServer(connector, this.view, this.evacuatedAtHelpingHost, knownHost);
		InetSocketAddress address = freeAddress();
		this.helping.start(this.loops, address);
		awaitListening(address);
		addHost(name, address);
	}

	private static void awaitListening(InetSocketAddress address) throws Exception {
		long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
		while (System.nanoTime() - until < 0) {
			try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
				return;
			}
			catch (ConnectException ex) {
				Thread.sleep(5);
			}
		}
		throw new IOException("nothing listens on " + address);
	}

	InetSocketAddress helpingAddress() {
		return this.peers.get(0).address();
	}

	TunnelServer helping() {
		return this.helping;
	}

	static InetSocketAddress freeAddress() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
		}
	}

	/**
	 * Adds a host that may be asked for connections.
	 */
	void addHost(String name, InetSocketAddress address) {
		this.peers.add(new Peer(name, "z", address));
	}

	/**
	 * Refuses this host's own connections to all servers, or lets them pass again.
	 */
	void setCutOff(boolean cut) {
		this.cutOff = cut ? UNREACHABLE : null;
	}

	/**
	 * Directs this host's own connections to all servers to another address.
	 */
	void setCutOff(InetSocketAddress instead) {
		this.cutOff = instead;
	}

	/**
	 * Refuses the helping host's connections to all servers too, or lets them pass again.
	 */
	void setHelpingHostCutOff(boolean cut) {
		this.helpingHostDirectedTo = cut ? UNREACHABLE : null;
	}

	/**
	 * Directs the helping host's connections to all servers to another address.
	 */
	void directHelpingHost(InetSocketAddress instead) {
		this.helpingHostDirectedTo = instead;
	}

	/**
	 * Puts the admission control in force.
	 */
	void restrictService() {
		this.restricted.add("svc");
	}

	ServicePaths paths() {
		return this.paths;
	}

	private LoadBalancer observed(LoadBalancer choice) {
		return (request) -> {
			Optional<SelectedServer> placed = choice.choose(request);
			placed.ifPresent(this.afterChoice);
			return placed;
		};
	}

	/**
	 * Sets a hook between the choice of a server and the opening of a connection.
	 * @param work receives the choice, on the event loop
	 */
	void afterChoice(Consumer<SelectedServer> work) {
		this.afterChoice = work;
	}

	ServerTable table() {
		return this.table;
	}

	/**
	 * Removes a server from the view of the fleet.
	 * @param number number of the server, from 1
	 */
	void removeServer(int number) {
		this.loops.submit(() -> this.view.remove("s" + number)).syncUninterruptibly();
	}

	/**
	 * Moves each server to a zone of its own, which has the server's identifier as name.
	 */
	void separateZones() throws Exception {
		onLoop(() -> List.copyOf(this.view.servers())
			.forEach((entry) -> this.view.put(new ServerEntry(entry.id(), entry.service(), entry.address(), entry.id(),
					entry.version(), entry.slots(), false, 0, entry.startMillis()))));
	}

	/**
	 * Returns the zones that are evacuated as this host knows; used on the event loop.
	 */
	EvacuatedZones evacuated() {
		return this.evacuated;
	}

	/**
	 * Returns the zones that are evacuated as the helping host knows; used on the event
	 * loop.
	 */
	EvacuatedZones evacuatedAtHelpingHost() {
		return this.evacuatedAtHelpingHost;
	}

	void evacuate(String zone) {
		this.loops.submit(() -> this.evacuated.evacuate(zone, new StorePosition(1, 1))).syncUninterruptibly();
	}

	/**
	 * Replaces a server by one with the same id that has been started later, at another
	 * address.
	 * @param number number of the server, from 1
	 * @param script script of the new server, which gets the next number
	 */
	void restartServer(int number, ScriptedServer.Script script) throws Exception {
		ScriptedServer started = new ScriptedServer(script);
		this.servers.add(started);
		onLoop(() -> this.view.put(new ServerEntry("s" + number, "svc",
				new InetSocketAddress(InetAddress.getLoopbackAddress(), started.port()), "z", "v1", 8, false, 0, 1)));
	}

	static GatewayFixture withServers(ScriptedServer.Script... scripts) throws Exception {
		GatewayFixture fixture = withoutConfiguration(scripts);
		fixture.publishConfiguration();
		return fixture;
	}

	/**
	 * Starts a gateway whose clients may send large bodies.
	 */
	static GatewayFixture withLargeBodies(ScriptedServer.Script... scripts) throws Exception {
		GatewayFixture fixture = withoutConfiguration(scripts);
		fixture.clientLimits = new ClientLimits(LIMITS.headerBytes(), 8 << 20, LIMITS.headerTimeoutMillis(),
				LIMITS.idleTimeoutMillis());
		fixture.publishConfiguration();
		return fixture;
	}

	/**
	 * Starts a gateway that has not read a configuration yet.
	 */
	static GatewayFixture withoutConfiguration(ScriptedServer.Script... scripts) throws Exception {
		GatewayFixture fixture = new GatewayFixture();
		for (ScriptedServer.Script script : scripts) {
			fixture.servers.add(new ScriptedServer(script));
		}
		fixture.frontend.start(fixture.loops,
				ListeningSocket.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)));
		return fixture;
	}

	void publishConfiguration() throws Exception {
		this.loops.submit(() -> {
			this.view.updateConfiguration(configuration(this.clientLimits));
			int number = 0;
			for (ScriptedServer server : this.servers) {
				number++;
				this.view.put(new ServerEntry("s" + number, "svc",
						new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port()), "z", "v1", 8, false, 0,
						0));
			}
			this.gate.open();
		}).get();
	}

	private static Configuration configuration(ClientLimits clientLimits) {
		List<Route> routes = List.of(route("/safe/", RequestKind.IDEMPOTENT, 5000, 2, false, List.of()),
				route("/brief/", RequestKind.IDEMPOTENT, 300, 2, false, List.of()),
				route("/once/", RequestKind.NON_IDEMPOTENT, 5000, 2, false, List.of()),
				route("/brief-once/", RequestKind.NON_IDEMPOTENT, 300, 2, false, List.of()),
				route("/stream/", RequestKind.STREAMING, 5000, 3, true, List.of()),
				route("/firm/", RequestKind.STREAMING, 5000, 3, false, List.of()),
				route("/sized/", RequestKind.STREAMING, 5000, 3, true, List.of("small", "large")),
				route("/firm-sized/", RequestKind.STREAMING, 5000, 3, false, List.of("small", "large")));
		BackendService service = new BackendService("svc", "/health", 100, 1000,
				List.of(new ModelCost("small", 0.1), new ModelCost("large", 1)), 1);
		return new Configuration(1, routes, List.of(service),
				List.of(new ClientAccount("acme", List.of("k", "k2"), OptionalInt.empty())), clientLimits);
	}

	private static Route route(String prefix, RequestKind kind, int timeout, int attempts, boolean resumable,
			List<String> models) {
		return new Route(prefix, "h.example", prefix, kind, List.of(new WeightedService("svc", 1)), timeout, 1000, 0,
				attempts, false, resumable, 1000, models);
	}

	ScriptedServer server(int number) {
		return this.servers.get(number - 1);
	}

	int attemptCount() {
		return this.servers.stream().mapToInt((server) -> server.requests().size()).sum();
	}

	Client connect() throws IOException {
		return new Client(new Socket(InetAddress.getLoopbackAddress(), this.frontend.port()));
	}

	String exchange(String path, String headers) throws IOException {
		try (Client client = connect()) {
			client.send(path, headers);
			return client.read();
		}
	}

	private RolloutStore records() {
		return new RolloutStore() {
			@Override
			public void writeStatus(RolloutStatus status, OptionalLong at, Consumer<StoreReply<Long>> reply) {
				reply.accept(StoreReply.of(1L));
			}

			@Override
			public void writeReport(HostRolloutReport seen, Consumer<StoreReply<Long>> reply) {
				GatewayFixture.this.evidence.add(seen);
			}

			@Override
			public void readNow() {
				// nothing to read
			}
		};
	}

	RolloutCoordinator rollouts() {
		return this.rollouts;
	}

	List<HostRolloutReport> evidence() {
		return this.evidence;
	}

	LatencyBaseline latencyBaseline() {
		return this.latencyBaseline;
	}

	ResponseBufferLimit responseBuffers() {
		return this.responseBuffers;
	}

	GatewayMetrics counts() {
		return this.counts;
	}

	TraitCoordinator traitCoordinator() {
		return this.traitCoordinator;
	}

	CrashCoordinator crashCoordinator() {
		return this.crashCoordinator;
	}

	/**
	 * Returns how many crashes the gateway counts for the fingerprint that it published
	 * first.
	 */
	int firstPublishedCrashCount() {
		if (this.published.isEmpty()) {
			return 0;
		}
		long fingerprint = this.published.get(0).suspects().get(0).fingerprint();
		return this.loops.submit(() -> this.crashCoordinator.crashes(fingerprint)).syncUninterruptibly().getNow();
	}

	List<HostCrashReport> published() {
		return this.published;
	}

	FrontendServer frontend() {
		return this.frontend;
	}

	/**
	 * Runs work on the event loop after its present task.
	 */
	void afterTask(Runnable work) {
		this.loops.execute(work);
	}

	void onLoop(Runnable work) throws Exception {
		this.loops.submit(work).get();
	}

	@Override
	public void close() throws Exception {
		for (ScriptedServer server : this.servers) {
			server.close();
		}
		this.loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).get();
	}

	/**
	 * A client's connection.
	 */
	static final class Client implements AutoCloseable {

		private static int lastId;

		private final Socket socket;

		private final InputStream in;

		private Client(Socket socket) throws IOException {
			this.socket = socket;
			this.socket.setSoTimeout(10_000);
			this.in = new BufferedInputStream(socket.getInputStream());
		}

		void send(String path, String headers) throws IOException {
			send("k", path, headers);
		}

		void send(String key, String path, String headers) throws IOException {
			raw("GET " + path + " HTTP/1.1\r\nHost: h.example\r\nid: r" + nextId() + "\r\nkey: " + key + "\r\n"
					+ headers + "\r\n");
		}

		private static synchronized int nextId() {
			return ++lastId;
		}

		void raw(String text) throws IOException {
			this.socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
		}

		String read() throws IOException {
			return RawHttp.readMessage(this.in);
		}

		/**
		 * Reads the head of a response, and its body if it has a length or chunks.
		 * @return the message, followed by {@code <cut>} if it was incomplete
		 */
		String readHead() {
			try {
				String message = read();
				return (message != null) ? message : "<cut>";
			}
			catch (IOException ex) {
				return "<cut>";
			}
		}

		/**
		 * Reads until the connection ends.
		 * @return all bytes, followed by {@code <cut>} if the connection was reset
		 */
		String readToEnd() {
			StringBuilder text = new StringBuilder();
			try {
				for (int next = this.in.read(); next >= 0; next = this.in.read()) {
					text.append((char) next);
				}
			}
			catch (IOException ex) {
				text.append("<cut>");
			}
			return text.toString();
		}

		int readByte() throws IOException {
			return this.in.read();
		}

		@Override
		public void close() throws IOException {
			this.socket.close();
		}

	}

}
