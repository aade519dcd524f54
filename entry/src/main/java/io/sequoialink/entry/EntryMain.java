package io.sequoialink.entry;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import io.sequoialink.gateway.http.ListeningSocket;
import io.sequoialink.platform.ProcessEnvironment;
import sun.misc.Signal;

/**
 * Main class of an entry host. Exits with status 2, after printing all errors, if the
 * settings are invalid, and with status 1 if it cannot listen on the client address.
 */
public final class EntryMain {

	/**
	 * Option followed by the client address to open before anything else, so that clients
	 * can connect while the process is still starting.
	 */
	private static final String LISTEN_OPTION = "--listen";

	/**
	 * Option that starts a host on loopback and exits; the build uses it to record the
	 * archive of classes (AppCDS) that shortens start-up.
	 */
	private static final String TRAINING_RUN_OPTION = "--rehearse";

	/**
	 * Longest time to wait at exit for the last log lines to be written, in milliseconds.
	 */
	private static final long LOG_FLUSH_TIMEOUT_MILLIS = 100;

	private static final int EXIT_INVALID_SETTINGS = 2;

	private static final int EXIT_ADDRESS_IN_USE = 1;

	private EntryMain() {
	}

	/**
	 * Starts the host and returns; the event loop keeps the process alive.
	 * @param arguments optionally {@code --listen IP:PORT} to open the client address
	 * before the settings are read; then the path of the settings file, unless the
	 * environment names it
	 * @throws InterruptedException if interrupted while sockets are bound
	 * @throws IOException if the training run cannot use loopback
	 */
	public static void main(String[] arguments) throws InterruptedException, IOException {
		if (arguments.length == 1 && arguments[0].equals(TRAINING_RUN_OPTION)) {
			ArchiveTrainingRun.run();
			return;
		}
		boolean listens = arguments.length > 1 && arguments[0].equals(LISTEN_OPTION);
		try {
			ServerSocketChannel early = listens ? openEarly(arguments[1]) : null;
			LogConfiguration.suppressLogging();
			start(settingsFile(arguments, listens ? 2 : 0), early, EntryHost::new);
		}
		catch (SettingsException ex) {
			ex.errors().forEach(System.err::println);
			System.exit(EXIT_INVALID_SETTINGS);
		}
		catch (IOException ex) {
			System.err.println("cannot listen on the client address: " + ex.getMessage());
			System.exit(EXIT_ADDRESS_IN_USE);
		}
	}

	// Opens the client address of the command line before the settings are read. An
	// invalid address is ignored, because the settings contain the client address too.
	private static ServerSocketChannel openEarly(String address) throws IOException {
		Optional<InetSocketAddress> parsed = SocketAddresses.parse(address);
		return parsed.isPresent() ? ListeningSocket.open(parsed.get()) : null;
	}

	private static Path settingsFile(String[] arguments, int index) throws SettingsException {
		String named = System.getenv(ProcessEnvironment.SETTINGS_FILE);
		String file = (arguments.length > index) ? arguments[index] : named;
		if (file == null) {
			throw new SettingsException(
					List.of("no settings file given: pass its path as argument or in environment variable "
							+ ProcessEnvironment.SETTINGS_FILE));
		}
		return Path.of(file);
	}

	/**
	 * Starts a host with the settings of a file.
	 * @param file the settings file
	 * @param early listening socket for clients, {@code null} if none is open yet
	 * @param factory creates the host
	 * @throws SettingsException if the settings are invalid
	 * @throws IOException if the host cannot listen on the client address
	 * @throws InterruptedException if interrupted while sockets are bound
	 */
	static void start(Path file, ServerSocketChannel early, Function<EntrySettings, EntryHost> factory)
			throws SettingsException, IOException, InterruptedException {
		EntrySettings settings = SettingsReader.read(file);
		BoundedLogAppender log = LogConfiguration.configure(settings.host());
		EntryHost host = factory.apply(settings);
		host.start(clientSocket(settings, early));
		SettingsFileWatcher watch = new SettingsFileWatcher(file, host::apply);
		host.scheduleAtFixedRate(SettingsFileWatcher.CHECK_PERIOD_MILLIS, watch::reloadIfModified);
		Signal.handle(new Signal("HUP"), (signal) -> host.execute(watch::reload));
		Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(host, log), "stop"));
	}

	// Returns the listening socket on the client address of the settings. These take
	// precedence: a socket that was opened before they were read, on another address, is
	// closed.
	private static ServerSocketChannel clientSocket(EntrySettings settings, ServerSocketChannel early)
			throws IOException {
		if (early != null && early.getLocalAddress().equals(settings.clients())) {
			return early;
		}
		if (early != null) {
			early.close();
		}
		return ListeningSocket.open(settings.clients());
	}

	private static void stop(EntryHost host, BoundedLogAppender log) {
		host.stop();
		log.flush(LOG_FLUSH_TIMEOUT_MILLIS);
	}

}
