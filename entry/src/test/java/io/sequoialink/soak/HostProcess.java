package io.sequoialink.soak;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * An entry host that runs as a separate process, and the proxy between it and the store.
 * Sends signals only to the process that it started. Thread-safe.
 */
final class HostProcess implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(HostProcess.class);

	private final String name;

	private final List<String> program;

	private final Path directory;

	private final LinkProxy storeLink;

	private final InetAddress serverAddress;

	private final ServerPaths paths;

	private final int clientPort = FreePorts.tcp();

	private final int readinessPort = FreePorts.tcp();

	private final int peerPort = FreePorts.udp();

	private Process process;

	private volatile boolean stopping;

	private boolean closed;

	/**
	 * Creates a host that is not running.
	 * @param name its name
	 * @param number number of the host, from 1 to 100
	 */
	HostProcess(String name, int number, List<String> program, Path directory, InetSocketAddress store)
			throws IOException {
		this.name = name;
		this.program = program;
		this.directory = directory;
		this.storeLink = new LinkProxy(store);
		this.serverAddress = InetAddress.getByName("127.0.0." + (10 + number));
		this.paths = new ServerPaths(this.serverAddress);
	}

	String name() {
		return this.name;
	}

	ServerPaths paths() {
		return this.paths;
	}

	LinkProxy storeLink() {
		return this.storeLink;
	}

	int clientPort() {
		return this.clientPort;
	}

	/**
	 * Returns whether the process was asked to stop gracefully and has not been started
	 * again since.
	 * @return whether it is stopping or stopped
	 */
	boolean stopping() {
		return this.stopping;
	}

	synchronized void start() throws IOException {
		Path settings = writeSettings(0.9);
		if (this.closed) {
			return;
		}
		this.stopping = false;
		List<String> command = new ArrayList<>(
				List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:+UseSerialGC",
						"-XX:TieredStopAtLevel=1", "-Xmx64m", "-Xss256k"));
		command.addAll(this.program);
		command.add(this.serverAddress.getHostAddress());
		command.add(settings.toString());
		this.process = new ProcessBuilder(command).redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(this.directory.resolve(this.name + ".log").toFile()))
			.start();
	}

	/**
	 * Writes the settings file of the host.
	 * @param retryRatio retries allowed per request; the host takes over a changed value
	 * when it reloads the file
	 * @return path of the file
	 */
	Path writeSettings(double retryRatio) throws IOException {
		Path file = this.directory.resolve(this.name + ".json");
		Files.writeString(file,
				"{\"host\":\"" + this.name + "\",\"zone\":\"a\",\"clients\":\"127.0.0.1:" + this.clientPort
						+ "\",\"readiness\":\"127.0.0.1:" + this.readinessPort + "\",\"peers\":\"127.0.0.1:"
						+ this.peerPort + "\",\"store\":{\"address\":\"127.0.0.1:" + this.storeLink.port()
						+ "\"},\"bounds\":{\"stop_seconds\":" + Bounds.HOST_STOP_SECONDS + ",\"leaving_millis\":"
						+ Bounds.DRAIN_MILLIS + ",\"apply_millis\":" + Bounds.CONFIG_APPLY_MILLIS + ",\"repeat_ratio\":"
						+ retryRatio + ",\"repeat_slack\":56,\"repeat_window_seconds\":10,"
						+ "\"exposure_share\":0.15,\"exposure_slack\":30,\"session_seconds\":5}}");
		return file;
	}

	boolean ready() {
		try {
			HttpURLConnection connection = (HttpURLConnection) URI
				.create("http://127.0.0.1:" + this.readinessPort + "/-/readiness")
				.toURL()
				.openConnection();
			connection.setConnectTimeout(500);
			connection.setReadTimeout(500);
			int status = connection.getResponseCode();
			connection.disconnect();
			return status == 200;
		}
		catch (IOException ex) {
			logger.debug("readiness check of {} failed: {}", this.name, ex.toString());
			return false;
		}
	}

	synchronized void kill() {
		this.process.destroyForcibly();
		awaitExit();
	}

	/**
	 * Sends SIGTERM and kills the process if it runs for longer than
	 * {@link Bounds#HOST_STOP_SECONDS}.
	 */
	void stopGracefully() {
		this.stopping = true;
		Process stopped;
		synchronized (this) {
			stopped = this.process;
		}
		stopped.destroy();
		try {
			if (!stopped.waitFor(Bounds.HOST_STOP_SECONDS, TimeUnit.SECONDS)) {
				stopped.destroyForcibly();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	synchronized void signal(String signal) throws IOException {
		Process sent = new ProcessBuilder("kill", "-" + signal, Long.toString(this.process.pid())).start();
		try {
			sent.waitFor(2, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void awaitExit() {
		try {
			this.process.waitFor(5, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	synchronized boolean alive() {
		return this.process != null && this.process.isAlive();
	}

	@Override
	public synchronized void close() throws IOException {
		this.closed = true;
		if (alive()) {
			signal("CONT");
			kill();
		}
		this.storeLink.close();
		this.paths.close();
	}

}
