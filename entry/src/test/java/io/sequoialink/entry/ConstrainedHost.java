package io.sequoialink.entry;

import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import io.sequoialink.soak.FreePorts;

/**
 * An entry host in a process of its own, with the options of the deployment, but less
 * memory and fewer descriptors. Sends signals only to the process that it started. Not
 * thread-safe.
 */
final class ConstrainedHost implements AutoCloseable {

	private static final Pattern HELD_BYTES = Pattern.compile("(?m)^sequoialink_connection_memory_bytes ([0-9.E]+)$");

	private static final int CALM_BYTES = 64 << 10;

	private static final Path DEPLOYMENT = Path.of("..", "deploy", "system.toml");

	private static final Pattern OPTIONS = Pattern.compile("run = \"java (.*) -jar .*\"");

	private static final int TIMEOUT_MILLIS = 2000;

	private static final AtomicLong LAST_REQUEST = new AtomicLong(System.nanoTime());

	private final int clients = FreePorts.tcp();

	private final int readiness = FreePorts.tcp();

	private final Path log;

	private final Process process;

	/** Starts a host that writes its settings and its log into a directory. */
	ConstrainedHost(Path directory, InetSocketAddress store, Limits limits) throws IOException {
		Path settings = Files.createTempFile(directory, "host", ".json");
		this.log = Files.createTempFile(directory, "host", ".log");
		Files.writeString(settings,
				"{\"host\":\"h1\",\"zone\":\"a\",\"clients\":\"127.0.0.1:" + this.clients
						+ "\",\"readiness\":\"127.0.0.1:" + this.readiness + "\",\"store\":{\"address\":\"127.0.0.1:"
						+ store.getPort() + "\"},\"bounds\":{\"stop_seconds\":4,\"leaving_millis\":2000,"
						+ "\"apply_millis\":2000,\"repeat_ratio\":0.1,\"repeat_slack\":10,\"repeat_window_seconds\":10,"
						+ "\"exposure_share\":0.15,\"exposure_slack\":30,\"session_seconds\":5}}");
		List<String> command = new ArrayList<>(
				List.of("sh", "-c", "ulimit -n " + limits.descriptors() + "; exec \"$@\"", "sh",
						Path.of(System.getProperty("java.home"), "bin", "java").toString()));
		options(limits).forEach(command::add);
		command.addAll(
				List.of("-cp", System.getProperty("java.class.path"), EntryMain.class.getName(), settings.toString()));
		this.process = new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(this.log.toFile()).start();
	}

	// All options of the deployment except the archive of classes, which only the build
	// of the program records.
	private static Stream<String> options(Limits limits) throws IOException {
		Matcher run = OPTIONS.matcher(Files.readString(DEPLOYMENT));
		if (!run.find()) {
			throw new IOException("no command of the host in " + DEPLOYMENT);
		}
		return Stream.of(run.group(1).split(" "))
			.filter((option) -> !option.contains("Shared") && !option.contains("Xshare"))
			.map((option) -> option.startsWith("-Xmx") ? "-Xmx" + limits.heapMebibytes() + 'm' : option)
			.map((option) -> option.startsWith("-XX:MaxDirectMemorySize")
					? "-XX:MaxDirectMemorySize=" + limits.directMebibytes() + 'm' : option);
	}

	int clients() {
		return this.clients;
	}

	int readiness() {
		return this.readiness;
	}

	boolean alive() {
		return this.process.isAlive();
	}

	boolean ready() {
		return responds("http://127.0.0.1:" + this.readiness + "/-/readiness", 0);
	}

	/** Returns whether a request is served; without body bytes it is a GET request. */
	boolean serves(String path, int bodyBytes) {
		return responds("http://127.0.0.1:" + this.clients + path, bodyBytes);
	}

	private static boolean responds(String address, int bodyBytes) {
		try {
			HttpURLConnection connection = (HttpURLConnection) URI.create(address).toURL().openConnection();
			connection.setConnectTimeout(TIMEOUT_MILLIS);
			connection.setReadTimeout(TIMEOUT_MILLIS);
			connection.setRequestProperty("X-Sequoialink-Request-Id", "r" + LAST_REQUEST.incrementAndGet());
			connection.setRequestProperty("Connection", "close");
			if (bodyBytes > 0) {
				connection.setDoOutput(true);
				connection.setFixedLengthStreamingMode(bodyBytes);
				connection.getOutputStream().write(new byte[bodyBytes]);
			}
			try (InputStream body = connection.getInputStream()) {
				body.readAllBytes();
			}
			return connection.getResponseCode() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	/** Returns whether the host holds less for all connections than one large request. */
	boolean calm() {
		try (InputStream page = URI.create("http://127.0.0.1:" + this.readiness + "/metrics").toURL().openStream()) {
			Matcher held = HELD_BYTES.matcher(new String(page.readAllBytes(), StandardCharsets.UTF_8));
			return held.find() && Double.parseDouble(held.group(1)) < CALM_BYTES;
		}
		catch (IOException ex) {
			return false;
		}
	}

	/** Returns the resident memory; 0 if the process has ended. */
	long residentMebibytes() {
		try (Stream<String> lines = Files.lines(proc("status"))) {
			return lines.filter((line) -> line.startsWith("VmRSS:"))
				.mapToLong((line) -> Long.parseLong(line.replaceAll("\\D", "")) >> 10)
				.findFirst()
				.orElse(0);
		}
		catch (IOException ex) {
			return 0;
		}
	}

	/** Returns the number of open descriptors; 0 if the process has ended. */
	long descriptors() {
		try (Stream<Path> open = Files.list(proc("fd"))) {
			return open.count();
		}
		catch (IOException ex) {
			return 0;
		}
	}

	private Path proc(String file) {
		return Path.of("/proc", String.valueOf(this.process.pid()), file);
	}

	/** Returns the end of what the process printed, apart from the lines of requests. */
	String lastLines() {
		try (Stream<String> lines = Files.lines(this.log, StandardCharsets.ISO_8859_1)) {
			List<String> kept = lines.filter((line) -> !line.contains("SL-31")).toList();
			return String.join("\n", kept.subList(Math.max(0, kept.size() - 5), kept.size()));
		}
		catch (IOException ex) {
			return ex.toString();
		}
	}

	@Override
	public void close() throws IOException {
		this.process.destroyForcibly();
		try {
			this.process.waitFor(5, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/** Memory and descriptors of the process. Immutable. */
	record Limits(int heapMebibytes, int directMebibytes, int descriptors) {
	}

}
