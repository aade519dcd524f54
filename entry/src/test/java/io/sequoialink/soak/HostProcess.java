package io.sequoialink.soak;

import java.io.IOException;
import java.net.HttpURLConnection;
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
 * One entry host as a process of its own, with its link to the store. Signals go only to
 * the process that was started here. Safe for threads.
 */
final class HostProcess implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(HostProcess.class);

	private final String name;

	private final List<String> program;

	private final Path directory;

	private final LinkProxy storeLink;

	private final int clients = FreePorts.tcp();

	private final int readiness = FreePorts.tcp();

	private final int peers = FreePorts.udp();

	private Process process;

	private volatile boolean stopping;

	private boolean closed;

	HostProcess(String name, List<String> program, Path directory, InetSocketAddress store) throws IOException {
		this.name = name;
		this.program = program;
		this.directory = directory;
		this.storeLink = new LinkProxy(store);
	}

	String name() {
		return this.name;
	}

	LinkProxy storeLink() {
		return this.storeLink;
	}

	int clients() {
		return this.clients;
	}

	/**
	 * Returns whether the process has been asked to stop and not started since.
	 * @return whether it has
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
		command.add(settings.toString());
		this.process = new ProcessBuilder(command).redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(this.directory.resolve(this.name + ".log").toFile()))
			.start();
	}

	/**
	 * Writes the settings file.
	 * @param repeatRatio repeats allowed for each request; may change while the host runs
	 * @return path of the file
	 */
	Path writeSettings(double repeatRatio) throws IOException {
		Path file = this.directory.resolve(this.name + ".json");
		Files.writeString(file,
				"{\"host\":\"" + this.name + "\",\"zone\":\"a\",\"clients\":\"127.0.0.1:" + this.clients
						+ "\",\"readiness\":\"127.0.0.1:" + this.readiness + "\",\"peers\":\"127.0.0.1:" + this.peers
						+ "\",\"store\":{\"address\":\"127.0.0.1:" + this.storeLink.port()
						+ "\"},\"bounds\":{\"stop_seconds\":" + Bounds.STOP_SECONDS + ",\"leaving_millis\":"
						+ Bounds.LEAVING_MILLIS + ",\"apply_millis\":" + Bounds.APPLY_MILLIS + ",\"repeat_ratio\":"
						+ repeatRatio + ",\"repeat_slack\":56,\"repeat_window_seconds\":10,"
						+ "\"exposure_share\":0.15,\"exposure_slack\":30,\"session_seconds\":5}}");
		return file;
	}

	boolean ready() {
		try {
			HttpURLConnection connection = (HttpURLConnection) URI
				.create("http://127.0.0.1:" + this.readiness + "/-/readiness")
				.toURL()
				.openConnection();
			connection.setConnectTimeout(500);
			connection.setReadTimeout(500);
			int status = connection.getResponseCode();
			connection.disconnect();
			return status == 200;
		}
		catch (IOException ex) {
			logger.debug("{} does not say that it is ready: {}", this.name, ex.toString());
			return false;
		}
	}

	synchronized void kill() {
		this.process.destroyForcibly();
		await();
	}

	/**
	 * Asks the process to stop and kills it when its time to stop is over.
	 */
	void terminate() {
		this.stopping = true;
		Process stopped;
		synchronized (this) {
			stopped = this.process;
		}
		stopped.destroy();
		try {
			if (!stopped.waitFor(Bounds.STOP_SECONDS, TimeUnit.SECONDS)) {
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

	private void await() {
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
	}

}
