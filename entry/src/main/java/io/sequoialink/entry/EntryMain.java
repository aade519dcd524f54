package io.sequoialink.entry;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import io.sequoialink.gateway.http.ListeningSocket;
import io.sequoialink.platform.ProcessEnvironment;
import sun.misc.Signal;

/**
 * Entry point of an entry host. Exits with 2 and all errors if the settings can't be
 * used, with 1 if clients' address can't be.
 */
public final class EntryMain {

	/**
	 * Followed by clients' address, so that connections can wait for the rest of the
	 * start.
	 */
	private static final String LISTEN = "--listen";

	/** Starts a host on loopback and ends, for the build's archive of classes. */
	private static final String REHEARSE = "--rehearse";

	/** Longest time to write the last lines of the log, in milliseconds. */
	private static final long LOG_FLUSH_MILLIS = 100;

	private static final int INVALID_SETTINGS = 2;

	private static final int ADDRESS_IN_USE = 1;

	private EntryMain() {
	}

	/**
	 * Starts the host and returns; the event loop keeps the process alive.
	 * @param arguments {@code --listen IP:PORT}, if clients' address is to be used before
	 * the settings are read; then the path of the settings file, unless the environment
	 * names it
	 * @throws InterruptedException if interrupted while sockets are bound
	 * @throws IOException if the rehearsal can't use loopback
	 */
	public static void main(String[] arguments) throws InterruptedException, IOException {
		if (arguments.length == 1 && arguments[0].equals(REHEARSE)) {
			Rehearsal.run();
			return;
		}
		boolean listens = arguments.length > 1 && arguments[0].equals(LISTEN);
		try {
			ServerSocketChannel early = listens ? early(arguments[1]) : null;
			LogSetup.quiet();
			start(settingsFile(arguments, listens ? 2 : 0), early);
		}
		catch (SettingsException ex) {
			ex.errors().forEach(System.err::println);
			System.exit(INVALID_SETTINGS);
		}
		catch (IOException ex) {
			System.err.println("clients' address can't be used: " + ex.getMessage());
			System.exit(ADDRESS_IN_USE);
		}
	}

	// What is no address is left to the settings, which name clients' address too.
	private static ServerSocketChannel early(String address) throws IOException {
		Optional<InetSocketAddress> parsed = SocketAddresses.parse(address);
		return parsed.isPresent() ? ListeningSocket.open(parsed.get()) : null;
	}

	private static Path settingsFile(String[] arguments, int index) throws SettingsException {
		String named = System.getenv(ProcessEnvironment.SETTINGS_FILE);
		String file = (arguments.length > index) ? arguments[index] : named;
		if (file == null) {
			throw new SettingsException(
					List.of("no settings file: name it as argument or in " + ProcessEnvironment.SETTINGS_FILE));
		}
		return Path.of(file);
	}

	private static void start(Path file, ServerSocketChannel early)
			throws SettingsException, IOException, InterruptedException {
		EntrySettings settings = SettingsReader.read(file);
		LogQueue log = LogSetup.configure(settings.host());
		EntryHost host = new EntryHost(settings);
		host.start(clients(settings, early));
		SettingsWatch watch = new SettingsWatch(file, host::apply);
		host.every(SettingsWatch.PERIOD_MILLIS, watch::check);
		Signal.handle(new Signal("HUP"), (signal) -> host.execute(watch::reload));
		Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(host, log), "stop"));
	}

	// The settings decide where clients connect.
	private static ServerSocketChannel clients(EntrySettings settings, ServerSocketChannel early) throws IOException {
		if (early != null && early.getLocalAddress().equals(settings.clients())) {
			return early;
		}
		if (early != null) {
			early.close();
		}
		return ListeningSocket.open(settings.clients());
	}

	private static void stop(EntryHost host, LogQueue log) {
		host.stop();
		log.flush(LOG_FLUSH_MILLIS);
	}

}
