import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Stand-ins of the platform's store, of runners and of clients, and the start of entry
 * hosts with the commands of the deploy file. Everything listens on loopback.
 */
final class Rig implements AutoCloseable {

	static final String HOST = "shop.example";

	private static final int FIRST_PORT = 20_000;

	private static final int PORTS = 12_000;

	/** Time after which a case that hangs is ended, in milliseconds. */
	private static final long LONGEST_MILLIS = 110_000;

	final Store store = new Store();

	final List<EntryProcess> hosts = new ArrayList<>();

	final List<Runner> runners = new ArrayList<>();

	private final long began = System.nanoTime();

	private final PrintWriter record;

	private final Path folder;

	Rig(Path recordFile) throws IOException {
		this.record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
		this.folder = Files.createTempDirectory("review-2");
		Runtime.getRuntime().addShutdownHook(new Thread(this::killHosts));
		background(() -> {
			sleep(LONGEST_MILLIS);
			System.exit(2);
		});
	}

	double seconds() {
		return (System.nanoTime() - this.began) / 1e9;
	}

	void note(String format, Object... values) {
		String line = String.format("%8.3f  ", seconds()) + String.format(format, values);
		synchronized (this.record) {
			this.record.println(line);
			System.out.println(line);
		}
	}

	static void sleep(long millis) {
		try {
			Thread.sleep(Math.max(0, millis));
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	static void background(Body body) {
		Thread thread = new Thread(() -> {
			try {
				body.run();
			}
			catch (IOException | RuntimeException ex) {
				// the other side has closed, or the case is over
			}
		});
		thread.setDaemon(true);
		thread.start();
	}

	/** Starts a host and returns once its settings file and its process exist. */
	EntryProcess startHost(String name, String ip, String zone) throws IOException {
		EntryProcess host = new EntryProcess(this, name, ip, zone, this.store.open());
		host.start();
		this.hosts.add(host);
		return host;
	}

	void awaitReady() {
		long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
		for (EntryProcess host : this.hosts) {
			while (!host.ready()) {
				if (System.nanoTime() > until) {
					throw new IllegalStateException("host " + host.name + " is not ready after 30 s");
				}
				sleep(50);
			}
		}
		note("all hosts are ready");
	}

	Path folder() {
		return this.folder;
	}

	private void killHosts() {
		this.hosts.forEach(EntryProcess::kill);
	}

	@Override
	public void close() {
		killHosts();
		this.runners.forEach(Runner::crash);
		this.store.close();
		this.record.flush();
		deleteFolder();
	}

	private void deleteFolder() {
		try (Stream<Path> files = Files.list(this.folder)) {
			for (Path file : files.toList()) {
				Files.delete(file);
			}
			Files.delete(this.folder);
		}
		catch (IOException ex) {
			// the system removes it some day
		}
	}

	// Below the ports that outgoing connections get, which would take one that is free now
	// before a host binds it.
	static int freePort(String ip) throws IOException {
		InetAddress address = InetAddress.getByName(ip);
		for (int i = 0; i < 200; i++) {
			int port = FIRST_PORT + ThreadLocalRandom.current().nextInt(PORTS);
			try (ServerSocket tcp = new ServerSocket(port, 1, address);
					DatagramSocket udp = new DatagramSocket(port, address)) {
				return udp.getLocalPort();
			}
			catch (IOException ex) {
				// the port is taken
			}
		}
		throw new IOException("no free port at " + ip);
	}

	interface Body {

		void run() throws IOException;

	}

	/** A head and a body. */
	static final class Message {

		String start = "";

		final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

		byte[] body = new byte[0];

		/** Why the message is not complete, empty if it is. */
		String incomplete = "";

		String header(String name) {
			return this.headers.getOrDefault(name, "");
		}

		int status() {
			String[] words = this.start.split(" ");
			return (words.length > 1) ? Integer.parseInt(words[1]) : 0;
		}

	}

	/** Reads one message; empty start line if the connection has ended before it. */
	static Message readHead(InputStream in) throws IOException {
		Message message = new Message();
		String line = readLine(in);
		if (line == null) {
			return message;
		}
		message.start = line;
		for (line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
			int colon = line.indexOf(':');
			message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
		}
		if (line == null) {
			message.incomplete = "ended inside the head";
		}
		return message;
	}

	static void readBody(InputStream in, Message message) throws IOException {
		if (message.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
			readChunks(in, message);
			return;
		}
		int length = message.headers.containsKey("Content-Length") ? Integer.parseInt(message.header("Content-Length"))
				: 0;
		byte[] body = in.readNBytes(length);
		message.body = body;
		if (body.length < length) {
			message.incomplete = "ended after " + body.length + " of " + length + " bytes";
		}
	}

	private static void readChunks(InputStream in, Message message) throws IOException {
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		while (true) {
			String line = readLine(in);
			if (line == null) {
				message.incomplete = "ended inside the chunks";
				break;
			}
			int size = Integer.parseInt(line.trim(), 16);
			body.write(in.readNBytes(size));
			readLine(in);
			if (size == 0) {
				break;
			}
		}
		message.body = body.toByteArray();
	}

	private static String readLine(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		int octet = in.read();
		if (octet < 0) {
			return null;
		}
		while (octet >= 0 && octet != '\n') {
			if (octet != '\r') {
				line.write(octet);
			}
			octet = in.read();
		}
		return (octet < 0) ? null : line.toString(StandardCharsets.ISO_8859_1);
	}

	static void write(OutputStream out, String head, byte[] body) throws IOException {
		ByteArrayOutputStream all = new ByteArrayOutputStream();
		all.write(head.getBytes(StandardCharsets.ISO_8859_1));
		all.write(body);
		out.write(all.toByteArray());
		out.flush();
	}

	/**
	 * The store: keyed topics with one partition. Every host has a port of its own, so
	 * that its link can be treated apart from those of the others.
	 */
	static final class Store implements AutoCloseable {

		private final Map<String, List<Entry>> topics = new HashMap<>();

		private final List<Link> links = new ArrayList<>();

		synchronized Link open() throws IOException {
			Link link = new Link(this);
			this.links.add(link);
			return link;
		}

		/** Appends a record; an empty value drops the key. */
		synchronized int put(String topic, String key, String value) {
			List<Entry> log = log("keyed." + topic);
			log.add(new Entry(key, value.getBytes(StandardCharsets.UTF_8)));
			notifyAll();
			return log.size() - 1;
		}

		synchronized List<String> values(String topic, String key) {
			return log("keyed." + topic).stream()
				.filter((entry) -> entry.key().equals(key))
				.map((entry) -> new String(entry.value(), StandardCharsets.UTF_8))
				.toList();
		}

		private List<Entry> log(String topic) {
			return this.topics.computeIfAbsent(topic, (name) -> new ArrayList<>());
		}

		private synchronized byte[] read(String topic, int from, long waitMillis) throws IOException {
			long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
			List<Entry> log = log(topic);
			while (log.size() <= from && System.nanoTime() < until) {
				try {
					wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
				}
				catch (InterruptedException ex) {
					throw new IOException(ex);
				}
			}
			ByteArrayOutputStream bytes = new ByteArrayOutputStream();
			DataOutputStream out = new DataOutputStream(bytes);
			out.writeLong(log.size());
			out.writeLong(0);
			for (int i = Math.max(0, from); i < log.size(); i++) {
				byte[] key = log.get(i).key().getBytes(StandardCharsets.UTF_8);
				out.writeInt(1 + key.length + log.get(i).value().length);
				out.writeByte(key.length);
				out.write(key);
				out.write(log.get(i).value());
			}
			return bytes.toByteArray();
		}

		private synchronized byte[] newest(String topic, String after) {
			List<Entry> log = log(topic);
			Map<String, Integer> last = new TreeMap<>();
			for (int i = 0; i < log.size(); i++) {
				last.put(log.get(i).key(), i);
			}
			StringBuilder items = new StringBuilder();
			last.forEach((key, offset) -> {
				byte[] value = log.get(offset).value();
				if (value.length > 0 && key.compareTo(after) > 0) {
					items.append(items.isEmpty() ? "" : ",")
						.append("{\"key\":\"" + key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(value)
								+ "\",\"offset\":" + offset + "}");
				}
			});
			return ("{\"items\":[" + items + "],\"truncated\":false,\"end\":" + log.size() + "}")
				.getBytes(StandardCharsets.UTF_8);
		}

		private synchronized Answer append(Map<String, String> query, byte[] body) {
			List<Entry> log = log(query.get("topic"));
			int end = log.size();
			if (query.containsKey("at") && Long.parseLong(query.get("at")) != end) {
				return new Answer(412, ("{\"end\":" + end + "}").getBytes(StandardCharsets.UTF_8));
			}
			int at = 0;
			while (at < body.length) {
				int length = (body[at] & 255) << 24 | (body[at + 1] & 255) << 16 | (body[at + 2] & 255) << 8
						| (body[at + 3] & 255);
				int keyLength = body[at + 4] & 255;
				String key = new String(body, at + 5, keyLength, StandardCharsets.UTF_8);
				byte[] value = new byte[length - 1 - keyLength];
				System.arraycopy(body, at + 5 + keyLength, value, 0, value.length);
				log.add(new Entry(key, value));
				at += 4 + length;
			}
			notifyAll();
			return new Answer(200, ("{\"offset\":" + end + ",\"end\":" + log.size() + "}").getBytes(StandardCharsets.UTF_8));
		}

		private Answer serve(Message request) throws IOException {
			String[] words = request.start.split(" ");
			int mark = words[1].indexOf('?');
			String path = (mark < 0) ? words[1] : words[1].substring(0, mark);
			Map<String, String> query = new HashMap<>();
			for (String pair : ((mark < 0) ? "" : words[1].substring(mark + 1)).split("&")) {
				int equals = pair.indexOf('=');
				if (equals > 0) {
					query.put(pair.substring(0, equals),
							URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
				}
			}
			return switch (path) {
				case "/-/log-read" -> new Answer(200, read(query.get("topic"), Integer.parseInt(query.get("from")),
						Long.parseLong(query.getOrDefault("wait_ms", "0"))));
				case "/-/log-newest" -> new Answer(200, newest(query.get("topic"), query.getOrDefault("after", "")));
				case "/-/log-append" -> append(query, request.body);
				default -> new Answer(404, new byte[0]);
			};
		}

		@Override
		public void close() {
			this.links.forEach(Link::close);
		}

		private record Entry(String key, byte[] value) {
		}

		record Answer(int status, byte[] body) {
		}

	}

	/** Port of the store for one host. */
	static final class Link implements AutoCloseable {

		private final Store store;

		private final ServerSocket listening;

		private final Set<Socket> open = ConcurrentHashMap.newKeySet();

		/** Time by which answers are late, in milliseconds. */
		volatile Delay delay = (request) -> 0;

		volatile Delay before = (request) -> 0;

		volatile Listener listener = (request, answer) -> {
		};

		Link(Store store) throws IOException {
			this.store = store;
			this.listening = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
			background(() -> {
				while (true) {
					Socket socket = this.listening.accept();
					this.open.add(socket);
					background(() -> serve(socket));
				}
			});
		}

		int port() {
			return this.listening.getLocalPort();
		}

		private void serve(Socket socket) throws IOException {
			socket.setTcpNoDelay(true);
			InputStream in = new BufferedInputStream(socket.getInputStream());
			try (socket) {
				while (true) {
					Message request = readHead(in);
					if (request.start.isEmpty()) {
						return;
					}
					readBody(in, request);
					sleep(this.before.millis(request));
					Store.Answer answer = this.store.serve(request);
					this.listener.answered(request, answer);
					sleep(this.delay.millis(request));
					write(socket.getOutputStream(), "HTTP/1.1 " + answer.status() + " X\r\nContent-Length: "
							+ answer.body().length + "\r\n\r\n", answer.body());
				}
			}
			finally {
				this.open.remove(socket);
			}
		}

		@Override
		public void close() {
			try {
				this.listening.close();
				for (Socket socket : this.open) {
					socket.close();
				}
			}
			catch (IOException ex) {
				// closed already
			}
		}

		interface Delay {

			long millis(Message request);

		}

		interface Listener {

			void answered(Message request, Store.Answer answer);

		}

	}

	/** A runner, registered in the store, with a life of its own at each start. */
	static final class Runner {

		final Rig rig;

		final String id;

		final String service;

		final String zone;

		final Work work;

		private ServerSocket listening;

		private Set<Socket> open = ConcurrentHashMap.newKeySet();

		private volatile boolean up;

		private volatile boolean beating;

		private int port;

		private long born;

		private int callSeq;

		private volatile double lastBeat;

		volatile String state = "ready";

		volatile String version = "v1";

		Runner(Rig rig, String id, String service, String zone, Work work) throws IOException {
			this.rig = rig;
			this.id = id;
			this.service = service;
			this.zone = zone;
			this.work = work;
			this.port = freePort("127.0.0.1");
			rig.runners.add(this);
		}

		synchronized void start() throws IOException {
			this.listening = new ServerSocket();
			this.listening.setReuseAddress(true);
			this.listening.bind(new InetSocketAddress("127.0.0.1", this.port), 100);
			this.open = ConcurrentHashMap.newKeySet();
			this.born = System.currentTimeMillis();
			this.up = true;
			this.beating = true;
			ServerSocket socket = this.listening;
			Set<Socket> connections = this.open;
			long life = this.born;
			background(() -> {
				while (true) {
					Socket accepted = socket.accept();
					connections.add(accepted);
					background(() -> serve(accepted, connections));
				}
			});
			background(() -> {
				while (this.up && this.beating && this.born == life) {
					beat();
					sleep(1200);
				}
			});
		}

		double lastBeat() {
			return this.lastBeat;
		}

		int beat() {
			this.lastBeat = this.rig.seconds();
			return this.rig.store.put("servers", this.id, "{\"service\":\"" + this.service + "\",\"address\":\"127.0.0.1:" + this.port
					+ "\",\"zone\":\"" + this.zone + "\",\"version\":\"" + this.version + "\",\"slots\":6,\"state\":\"" + this.state
					+ "\",\"cold_left_ms\":0,\"born\":" + this.born + ",\"call_seq\":" + this.callSeq++ + "}");
		}

		void stopBeats() {
			this.beating = false;
		}

		boolean up() {
			return this.up;
		}

		private void serve(Socket socket, Set<Socket> connections) throws IOException {
			socket.setTcpNoDelay(true);
			InputStream in = new BufferedInputStream(socket.getInputStream());
			try (socket) {
				while (true) {
					Message request = readHead(in);
					if (request.start.isEmpty()) {
						return;
					}
					readBody(in, request);
					if (!request.incomplete.isEmpty()) {
						return;
					}
					String expected = request.header("X-Sequoialink-Expect-Instance");
					if (!expected.isEmpty() && !expected.equals(this.id)) {
						write(socket.getOutputStream(), "HTTP/1.1 421 X\r\nX-Sequoialink-Instance-Id: " + this.id
								+ "\r\nContent-Length: 0\r\n\r\n", new byte[0]);
						continue;
					}
					if (!this.work.run(this, request, socket)) {
						return;
					}
				}
			}
			finally {
				connections.remove(socket);
			}
		}

		/** Ends as a process that crashes does: all its sockets are closed at once. */
		synchronized void crash() {
			if (!this.up) {
				return;
			}
			this.up = false;
			try {
				this.listening.close();
				for (Socket socket : this.open) {
					socket.setSoLinger(true, 0);
					socket.close();
				}
			}
			catch (IOException ex) {
				// closed already
			}
		}

		static void answer(Message request, Socket socket, byte[] body) throws IOException {
			write(socket.getOutputStream(),
					"HTTP/1.1 200 OK\r\nX-Sequoialink-Request-Id: " + request.header("X-Sequoialink-Request-Id")
							+ "\r\nX-Sequoialink-Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Length: "
							+ body.length + "\r\n\r\n",
					body);
		}

		interface Work {

			/** Returns whether the connection goes on. */
			boolean run(Runner runner, Message request, Socket socket) throws IOException;

		}

	}

	/** An entry host, started with the command of the deploy file. */
	static final class EntryProcess {

		final String name;

		final Link store;

		private final Rig rig;

		private final String ip;

		private final int front;

		private final int ready;

		private final Path settings;

		private Process process;

		EntryProcess(Rig rig, String name, String ip, String zone, Link store) throws IOException {
			this.rig = rig;
			this.name = name;
			this.ip = ip;
			this.store = store;
			this.front = freePort(ip);
			this.ready = freePort(ip);
			Map<String, String> fields = new LinkedHashMap<>();
			fields.put("node_name|json", "\"" + name + "\"");
			fields.put("zone|json", "\"" + zone + "\"");
			fields.put("listen.front|json", "\"" + ip + ":" + this.front + "\"");
			fields.put("listen.ready|json", "\"" + ip + ":" + this.ready + "\"");
			fields.put("ip", ip);
			fields.put("internal_ports.0", String.valueOf(freePort(ip)));
			fields.put("platform.address|json", "\"127.0.0.1:" + store.port() + "\"");
			fields.put("bounds.grace_s|json", "8");
			fields.put("bounds.drain_ms|json", "2000");
			fields.put("bounds.config_apply_ms|json", "2000");
			fields.put("bounds.retry_budget_ratio|json", "0.9");
			fields.put("bounds.retry_budget_slack|json", "56");
			fields.put("bounds.budget_window_s|json", "10");
			fields.put("bounds.expose_share|json", "0.15");
			fields.put("bounds.expose_slack|json", "30");
			fields.put("bounds.session_s|json", "5");
			String text = Files.readString(Path.of("deploy/settings.json.template"));
			for (Map.Entry<String, String> field : fields.entrySet()) {
				text = text.replace("{{" + field.getKey() + "}}", field.getValue());
			}
			if (text.contains("{{")) {
				throw new IOException("the template has a field that is not known here: " + text);
			}
			this.settings = rig.folder().resolve(name + ".json");
			Files.writeString(this.settings, text);
		}

		void start() throws IOException {
			String run = Files.readAllLines(Path.of("deploy/system.toml"))
				.stream()
				.filter((line) -> line.startsWith("run = "))
				.findFirst()
				.orElseThrow();
			run = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'))
				.replace("{{listen.front}}", this.ip + ":" + this.front);
			ProcessBuilder builder = new ProcessBuilder(run.split(" "));
			builder.environment().put("SEQUOIALINK_NODE_FILE", this.settings.toString());
			builder.redirectErrorStream(true)
				.redirectOutput(this.rig.folder().resolve(this.name + ".log").toFile());
			this.process = builder.start();
			this.rig.note("host %s started, process %d", this.name, this.process.pid());
		}

		/** Sends SIGTERM, as the platform does for a planned stop. */
		void terminate() {
			this.rig.note("SIGTERM to host %s", this.name);
			this.process.destroy();
		}

		boolean alive() {
			return this.process.isAlive();
		}

		int exitCode() {
			return this.process.isAlive() ? -1 : this.process.exitValue();
		}

		Path log() {
			return this.rig.folder().resolve(this.name + ".log");
		}

		void kill() {
			if (this.process != null) {
				this.process.destroyForcibly();
			}
		}

		boolean ready() {
			try (Socket socket = new Socket()) {
				socket.connect(new InetSocketAddress(this.ip, this.ready), 500);
				socket.setSoTimeout(1000);
				write(socket.getOutputStream(), "GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
						new byte[0]);
				return readHead(socket.getInputStream()).status() == 200;
			}
			catch (IOException ex) {
				return false;
			}
		}

		Socket connect() throws IOException {
			Socket socket = new Socket();
			socket.setTcpNoDelay(true);
			socket.connect(new InetSocketAddress(this.ip, this.front), 1000);
			return socket;
		}

		/** Connects with a small window, as a client on a slow line has. */
		Socket connectSlowly() throws IOException {
			Socket socket = new Socket();
			socket.setReceiveBufferSize(16 << 10);
			socket.connect(new InetSocketAddress(this.ip, this.front), 1000);
			return socket;
		}

		/** Sends one request on a new connection and returns the answer. */
		Message call(String method, String path, String id, String key, int deadlineMillis, byte[] body)
				throws IOException {
			try (Socket socket = connect()) {
				socket.setSoTimeout(deadlineMillis + 1000);
				write(socket.getOutputStream(), head(method, path, id, key, deadlineMillis, body.length), body);
				InputStream in = new BufferedInputStream(socket.getInputStream());
				Message answer = readHead(in);
				if (answer.start.isEmpty()) {
					throw new EOFException("closed without an answer");
				}
				readBody(in, answer);
				return answer;
			}
		}

	}

	static String head(String method, String path, String id, String key, int deadlineMillis, int length) {
		return method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Sequoialink-Request-Id: " + id
				+ "\r\nX-Sequoialink-Deadline-Ms: " + deadlineMillis + "\r\nX-Sequoialink-Credential: " + key + "\r\n"
				+ ((length > 0) ? "Content-Length: " + length + "\r\n" : "") + "\r\n";
	}

	/** A route as the operator writes it. */
	static String route(String name, String prefix, String kind, String service, int attempts, int timeoutMillis) {
		return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"path_prefix\":\"" + prefix + "\",\"kind\":\""
				+ kind + "\",\"timeout_ms\":" + timeoutMillis
				+ ",\"target_latency_ms\":150,\"priority\":2,\"service\":\"" + service + "\",\"max_attempts\":"
				+ attempts + ",\"public\":false}";
	}

	/** A configuration as the operator writes it. */
	static String config(int version, List<String> routes, List<String> services) {
		StringBuilder text = new StringBuilder("{\"version\":" + version + ",\"routes\":[" + String.join(",", routes)
				+ "],\"services\":[");
		for (int i = 0; i < services.size(); i++) {
			text.append((i > 0) ? "," : "")
				.append("{\"name\":\"" + services.get(i)
						+ "\",\"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}");
		}
		return text
				+ "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
				+ "\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"n2ctnfzs989anu6wsjnb\"],\"priority\":1}]}";
	}

}
