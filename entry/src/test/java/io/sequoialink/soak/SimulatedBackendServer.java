package io.sequoialink.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Simulated backend server that reports every request to the {@link PromiseChecker} and
 * can crash, hang, fail requests and shut down. A restarted server is a new instance with
 * a new name. Thread-safe.
 */
final class SimulatedBackendServer implements AutoCloseable {

	/** Number of events of every stream. */
	static final int STREAM_EVENTS = 20;

	/** Number of requests that the server executes at a time. */
	static final int SLOTS = 16;

	/** The same of the service "small". */
	private static final int SMALL_SLOTS = 3;

	/** The same of the service of {@link SecondAnswers}. */
	private static final int PAIR_SLOTS = 6;

	private static final double NO_LIMIT = -1;

	private static final int BACKLOG = 200;

	private static final Logger logger = LoggerFactory.getLogger(SimulatedBackendServer.class);

	/** One in so many answers of the plain services is cut in its head or body. */
	private static final int CUT_HEADS = 200;

	/** Beginning of the identifiers of prompt parts that crash servers. */
	static final String CRASHING_PART_PREFIX = "dead";

	private static final int EVENT_INTERVAL_MILLIS = 15;

	private static final int LATER_FAULTS_SEED_MASK = 0x7AF3;

	private static final int CUT_HEADS_SEED_MASK = 0x4EAD;

	private final PromiseChecker checker;

	private final DisturbanceTracker disturbances;

	/**
	 * Zones of the servers. None is the zone of the hosts, which prefer servers of their
	 * own, so that all servers are used alike.
	 */
	static final List<String> ZONES = List.of("b", "c", "d");

	private final String service;

	private final String zone;

	private final String name;

	private final Random random;

	/**
	 * Separate source of random numbers for faults that were added later, so that the
	 * other draws of a seed stay the same.
	 */
	private final Random laterFaults;

	private final ServerSocket serverSocket;

	private final Thread acceptThread;

	private final LinkProxy link;

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private final AtomicInteger runningRequests = new AtomicInteger();

	private volatile boolean hanging;

	private volatile long drainAcceptedNanos;

	private volatile boolean shuttingDown;

	private volatile long backoffUntilNanos;

	private volatile double limitPerSecond = NO_LIMIT;

	private final Brittleness brittleness = new Brittleness();

	private final Random cutHeads;

	private final SecondAnswers secondAnswers;

	private final BrokenAnswers brokenAnswers;

	private final ColdStart coldStart;

	private volatile Runnable closing = () -> {
	};

	private volatile Runnable closed = () -> {
	};

	SimulatedBackendServer(PromiseChecker checker, DisturbanceTracker disturbances, String service, String name,
			long seed) throws IOException {
		this.checker = checker;
		this.disturbances = disturbances;
		this.service = service;
		this.zone = ZONES.get((int) (seed % ZONES.size()));
		this.name = name;
		this.random = new Random(seed);
		this.laterFaults = new Random(seed ^ LATER_FAULTS_SEED_MASK);
		this.cutHeads = new Random(seed ^ CUT_HEADS_SEED_MASK);
		this.secondAnswers = new SecondAnswers(service, seed, checker);
		this.brokenAnswers = new BrokenAnswers(service, seed);
		this.coldStart = new ColdStart(service, name, seed, checker);
		this.serverSocket = listen();
		this.link = new LinkProxy(
				new InetSocketAddress(InetAddress.getLoopbackAddress(), this.serverSocket.getLocalPort()));
		this.acceptThread = DaemonThreads.start("server", this::acceptConnections);
	}

	private static ServerSocket listen() throws IOException {
		ServerSocket socket = new ServerSocket();
		socket.setReceiveBufferSize(BrokenAnswers.RECEIVE_BUFFER_BYTES);
		socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
		return socket;
	}

	String name() {
		return this.name;
	}

	String service() {
		return this.service;
	}

	Brittleness brittleness() {
		return this.brittleness;
	}

	private int slots() {
		return switch (this.service) {
			case "small" -> SMALL_SLOTS;
			case SecondAnswers.SERVICE -> PAIR_SLOTS;
			default -> SLOTS;
		};
	}

	LinkProxy link() {
		return this.link;
	}

	void setHanging(boolean hang) {
		this.hanging = hang;
	}

	/**
	 * Adds the shutdown notice to all responses to executed requests from now on.
	 */
	void announceShutdown() {
		this.shuttingDown = true;
	}

	/**
	 * Rejects requests with status 503 and a Retry-After for some time.
	 * @param millis duration in milliseconds
	 */
	void requestBackoff(int millis) {
		this.backoffUntilNanos = System.nanoTime() + Bounds.millisToNanos(millis);
	}

	/**
	 * Names a limit in all responses from now on.
	 * @param perSecond requests per second from all hosts together
	 */
	void nameLimit(double perSecond) {
		this.checker.recordLimit(this.name, perSecond);
		this.limitPerSecond = perSecond;
	}

	void endLimit() {
		this.limitPerSecond = NO_LIMIT;
		this.checker.recordLimitEnded(this.name);
	}

	/**
	 * Stores the current time as the time at which the store accepted the record that
	 * this server drains.
	 */
	void markDrainAccepted() {
		this.drainAcceptedNanos = System.nanoTime();
	}

	String storeRecord(boolean draining) {
		return "{\"service\":\"" + this.service + "\",\"address\":\"127.0.0.1:" + this.link.port() + "\",\"zone\":\""
				+ this.zone + "\",\"version\":\"v1\",\"slots\":" + slots() + ",\"state\":\""
				+ (draining ? "draining" : "ready") + "\",\"cold_left_ms\":" + this.coldStart.leftMillis() + "}";
	}

	private void acceptConnections() {
		while (!this.serverSocket.isClosed()) {
			try {
				Socket socket = this.serverSocket.accept();
				this.sockets.add(socket);
				DaemonThreads.start("server-connection", () -> serve(socket));
			}
			catch (IOException ex) {
				if (!this.serverSocket.isClosed()) {
					logger.warn("server {} accepts no more connections: {}", this.name, ex.toString());
				}
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			InputStream in = new BufferedInputStream(socket.getInputStream());
			Optional<HttpMessages.Head> head = HttpMessages.readHead(in);
			while (head.isPresent()) {
				if (this.brokenAnswers.cutsUpload(head.get())) {
					cutUpload(socket, head.get());
					return;
				}
				String body = HttpMessages.readBody(in, head.get());
				handleRequest(socket, in, head.get(), body);
				socket.setSoTimeout(0);
				head = HttpMessages.readHead(in);
			}
		}
		catch (IOException ex) {
			logger.debug("connection to server {} ended: {}", this.name, ex.toString());
		}
		finally {
			this.sockets.remove(socket);
			this.secondAnswers.connectionEnded(socket);
		}
	}

	// Answers before the body is read, without a length, and resets the connection.
	private void cutUpload(Socket socket, HttpMessages.Head head) throws IOException {
		String id = head.header(HeaderNames.REQUEST_ID).orElse("");
		if (!head.header(HeaderNames.EXPECTED_INSTANCE).equals(Optional.of(this.name))) {
			reject(socket.getOutputStream(), id, 421, "");
			return;
		}
		this.checker.checkArrival(id, this.name, this.drainAcceptedNanos);
		this.checker.checkZoneArrival(id, this.name, this.zone);
		Run run = new Run(id, this.checker.recordExecution(id, this.name, this.service, head));
		this.checker.recordBroken(run.id(), run.seal(), "uploads cut");
		HttpMessages.write(socket.getOutputStream(), responseHead(run, 200) + "\r\npart of the answer");
		if (this.brokenAnswers.endsOutputFirst()) {
			socket.shutdownOutput();
		}
		DaemonThreads.sleep(this.brokenAnswers.millisBeforeReset());
		socket.setSoLinger(true, 0);
	}

	private void handleRequest(Socket socket, InputStream in, HttpMessages.Head head, String body) throws IOException {
		String id = head.header(HeaderNames.REQUEST_ID).orElse("");
		OutputStream out = socket.getOutputStream();
		if (!head.header(HeaderNames.EXPECTED_INSTANCE).equals(Optional.of(this.name))) {
			reject(out, id, 421, "");
			return;
		}
		this.checker.checkArrival(id, this.name, this.drainAcceptedNanos);
		this.checker.checkZoneArrival(id, this.name, this.zone);
		this.coldStart.arrived(id);
		long backoff = Math.max(0, this.backoffUntilNanos - System.nanoTime());
		if (this.backoffUntilNanos != 0 && backoff > 0) {
			long millis = 1 + backoff / 1_000_000;
			reject(out, id, 503, HeaderNames.RETRY_AFTER + ": " + millis / 1000.0 + "\r\n");
			this.checker.recordBackoffRequest(id, this.name, millis);
			return;
		}
		if (this.runningRequests.incrementAndGet() > slots()) {
			this.runningRequests.decrementAndGet();
			turnAway(out, id);
			return;
		}
		try {
			String seal = this.checker.recordExecution(id, this.name, this.service, head);
			if (body.startsWith("poison")) {
				this.checker.recordCrash(id, body);
				crash();
				return;
			}
			if (head.header(HeaderNames.PROMPT).orElse("").contains(CRASHING_PART_PREFIX)) {
				crashAtBeginning(out, id, seal);
				return;
			}
			execute(socket, in, new Run(id, seal), head);
		}
		finally {
			this.runningRequests.decrementAndGet();
		}
	}

	private void turnAway(OutputStream out, String id) throws IOException {
		if (!this.service.equals(SecondAnswers.SERVICE)) {
			this.checker.recordTurnedAway(id, this.name);
		}
		if (this.brittleness.turnAway(System.nanoTime())) {
			this.checker.recordFall(this.name);
			crash();
			return;
		}
		reject(out, id, 503, "");
	}

	// The head of the response is sent, and the server ends before the first event.
	private void crashAtBeginning(OutputStream out, String id, String seal) throws IOException {
		DaemonThreads.sleep(5 + this.random.nextInt(60));
		HttpMessages.write(out, streamHead(new Run(id, seal)) + "Content-Type: text/event-stream\r\n\r\n");
		DaemonThreads.sleep(this.random.nextInt(60));
		this.checker.recordPartCrash(id);
		crash();
	}

	// In 1 of 4 cases writes the refusal once more, at once or a little later; the id is
	// missing in half of the copies.
	private void reject(OutputStream out, String id, int status, String headers) throws IOException {
		int draw = this.laterFaults.nextInt(8);
		int pause = this.laterFaults.nextInt(3) * this.laterFaults.nextInt(30);
		String refusal = "HTTP/1.1 " + status + " X\r\n" + HeaderNames.NOT_EXECUTED + ": 1\r\n" + headers
				+ this.brittleness.header() + "Content-Length: 0\r\n";
		String named = refusal + HeaderNames.REQUEST_ID + ": " + id + "\r\n\r\n";
		String copy = (draw == 0) ? named : refusal + "\r\n";
		boolean repeat = draw < 2;
		HttpMessages.write(out, (repeat && pause == 0) ? named + copy : named);
		if (repeat && pause > 0) {
			DaemonThreads.sleep(pause);
			HttpMessages.write(out, copy);
		}
	}

	// An answer that does not go on with the stream: an error, a page, or a run that
	// begins
	// anew.
	private void answerWithSomethingElse(OutputStream out, Run run) throws IOException {
		this.checker.recordBrokenOff(run.id());
		String page = "<html>\n\nerror\n\n</html>\n\n";
		String event = "id: 1\ndata: more\n\n";
		boolean isPage = this.laterFaults.nextBoolean();
		int status = this.laterFaults.nextBoolean() ? 500 : 200;
		String body = isPage ? page : event;
		this.checker.recordAnswer(run.seal(), status, Optional.of(body));
		HttpMessages.write(out,
				responseHead(run, status) + "Content-Type: " + (isPage ? "text/html" : "text/event-stream")
						+ "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
	}

	private void execute(Socket socket, InputStream in, Run run, HttpMessages.Head head) throws IOException {
		int hangMillis = this.secondAnswers
			.hangMillis(Integer.parseInt(head.header(HeaderNames.DEADLINE).orElse("" + Bounds.REQUEST_TIMEOUT_MILLIS)));
		int workMillis = (hangMillis > 0) ? hangMillis : randomWorkMillis();
		if (!workWhileConnected(socket, in, run.id(), workMillis) || hangUntilDisconnected(socket, in, run.id())) {
			socket.close();
			return;
		}
		if (this.service.equals("models")) {
			sendStream(socket, in, run, head);
			return;
		}
		int status = this.secondAnswers.status((this.random.nextInt(100) < 2) ? 500 : 200);
		answer(socket, run, (hangMillis > 0) ? 504 : status);
	}

	private void answer(Socket socket, Run run, int status) throws IOException {
		String body = "answer to " + run.id();
		String whole = wholeAnswer(run, status, body);
		if (this.brokenAnswers.nextIsMalformed()) {
			this.checker.recordBroken(run.id(), run.seal(), "malformed answers");
			HttpMessages.write(socket.getOutputStream(), this.brokenAnswers.malformed(whole));
			socket.close();
			return;
		}
		this.checker.recordAnswer(run.seal(), status, Optional.of(body));
		if (this.cutHeads.nextInt(CUT_HEADS) == 0) {
			this.checker.recordBrokenOff(run.id());
			HttpMessages.write(socket.getOutputStream(), whole.substring(0, this.cutHeads.nextInt(whole.length())));
			socket.close();
			return;
		}
		if (this.service.equals("small")) {
			HttpMessages.write(socket.getOutputStream(), whole);
			return;
		}
		this.secondAnswers.write(socket, status, whole, wholeAnswer(run, 200, "second " + body));
	}

	private String wholeAnswer(Run run, int status, String body) {
		return responseHead(run, status) + "Content-Length: " + body.length() + "\r\n\r\n" + body;
	}

	private String streamHead(Run run) {
		this.checker.recordAnswer(run.seal(), 200, Optional.empty());
		return responseHead(run, 200);
	}

	private int randomWorkMillis() {
		int draw = this.random.nextInt(100);
		if (draw < 2) {
			return 2 * Bounds.REQUEST_TIMEOUT_MILLIS;
		}
		return (draw < 10) ? 900 : 5 + draw / 2;
	}

	private String responseHead(Run run, int status) {
		String head = "HTTP/1.1 " + status + " X\r\n" + HeaderNames.REQUEST_ID + ": " + run.id() + "\r\n"
				+ HeaderNames.SERVER_SEAL + ": " + run.seal() + "\r\n" + limitHeader(run.id())
				+ this.brittleness.header();
		if (!this.shuttingDown) {
			return head;
		}
		this.checker.recordShutdownNotice(run.id(), this.name);
		return head + HeaderNames.SERVER_LEAVING + ": 1\r\n";
	}

	private String limitHeader(String id) {
		double perSecond = this.limitPerSecond;
		if (perSecond == NO_LIMIT) {
			return "";
		}
		this.checker.recordLimitTold(id, this.name);
		return HeaderNames.SERVER_LIMIT + ": " + perSecond + "\r\n";
	}

	private void sendStream(Socket socket, InputStream in, Run run, HttpMessages.Head head) throws IOException {
		OutputStream out = socket.getOutputStream();
		int last = Integer.parseInt(head.header(HeaderNames.LAST_EVENT_ID).orElse("0"));
		if (last > 0 && this.laterFaults.nextInt(4) == 0) {
			answerWithSomethingElse(out, run);
			return;
		}
		if (this.random.nextInt(3) == 0) {
			sendStreamUntilClose(socket, in, run, last);
			return;
		}
		HttpMessages.write(out,
				streamHead(run) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
		for (int event = last + 1; event <= STREAM_EVENTS; event++) {
			String text = "id: " + event + "\ndata: " + ((event == STREAM_EVENTS) ? "end" : "more") + "\n\n";
			HttpMessages.write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
			if (!workWhileConnected(socket, in, run.id(), EVENT_INTERVAL_MILLIS)) {
				socket.close();
				return;
			}
		}
		HttpMessages.write(out, "0\r\n\r\n");
	}

	// Sends events with neither a length nor chunks, so the stream ends with its
	// connection; in 1 of 20 cases inside an event.
	private void sendStreamUntilClose(Socket socket, InputStream in, Run run, int last) throws IOException {
		OutputStream out = socket.getOutputStream();
		HttpMessages.write(out, streamHead(run) + "Content-Type: text/event-stream\r\n\r\n");
		int breakAt = (this.random.nextInt(20) == 0) ? 1 + this.random.nextInt(STREAM_EVENTS) : STREAM_EVENTS + 1;
		for (int event = last + 1; event <= STREAM_EVENTS; event++) {
			String text = "id: " + event + "\ndata: " + ((event == STREAM_EVENTS) ? "end" : "more") + "\n\n";
			if (event == breakAt) {
				this.checker.recordBrokenOff(run.id());
			}
			HttpMessages.write(out, (event == breakAt) ? text.substring(0, 8) : text);
			if (event == breakAt || !workWhileConnected(socket, in, run.id(), EVENT_INTERVAL_MILLIS)) {
				break;
			}
		}
		socket.close();
	}

	private boolean hangUntilDisconnected(Socket socket, InputStream in, String id) throws IOException {
		while (this.hanging) {
			if (!workWhileConnected(socket, in, id, 50)) {
				return true;
			}
		}
		return false;
	}

	// Simulates work; returns false early if the host closes the connection.
	private boolean workWhileConnected(Socket socket, InputStream in, String id, int millis) throws IOException {
		long until = System.nanoTime() + Bounds.millisToNanos(millis);
		while (System.nanoTime() - until < 0) {
			int slice = (int) Math.max(1, Math.min(50, (until - System.nanoTime()) / 1_000_000));
			socket.setSoTimeout(slice);
			try {
				if (in.read() < 0) {
					return false;
				}
				this.checker.reportViolation("UNASKED", id,
						"bytes received after a request in progress at " + this.name);
			}
			catch (SocketTimeoutException ex) {
				this.checker.recordWorking(id, this.name);
			}
		}
		return true;
	}

	/**
	 * Sets what is done when the server ends: no path to it may take connections once the
	 * first of its connections is lost, as hosts then look whether it is still there.
	 * @param before called before its connections are lost
	 * @param after called once it is closed
	 */
	void onClose(Runnable before, Runnable after) {
		this.closing = before;
		this.closed = after;
	}

	/**
	 * Behaves like a process that was killed: open connections are reset and new ones
	 * refused.
	 */
	void crash() {
		this.disturbances.begin(this.name);
		close();
	}

	@Override
	public void close() {
		try {
			this.closing.run();
			DaemonThreads.stopListening(this.serverSocket, this.acceptThread);
			this.link.close();
			this.closed.run();
			for (Socket socket : this.sockets) {
				socket.setSoLinger(true, 0);
				socket.close();
			}
		}
		catch (IOException ex) {
			logger.debug("connection was already closed: {}", ex.toString());
		}
	}

	boolean isClosed() {
		return this.serverSocket.isClosed();
	}

	/** One run: the identifier of its request and its own seal. Immutable. */
	private record Run(String id, String seal) {
	}

}
