package io.sequoialink.entry;

import java.nio.file.Path;

import io.sequoialink.platform.ProcessEnvironment;
import sun.misc.Signal;

/**
 * Entry point of an entry host. Exits with 2 and all errors if the settings can't be
 * used.
 */
public final class EntryMain {

	/** Loads the classes of a start and ends, for the build's archive of classes. */
	private static final String LOAD_CLASSES = "--load-classes";

	/** Longest time to write the last lines of the log, in milliseconds. */
	private static final long LOG_FLUSH_MILLIS = 100;

	private static final int INVALID_SETTINGS = 2;

	private EntryMain() {
	}

	/**
	 * Starts the host and returns; the event loop keeps the process alive.
	 * @param arguments path of the settings file, unless the environment names it
	 * @throws InterruptedException if interrupted while sockets are bound
	 */
	public static void main(String[] arguments) throws InterruptedException {
		if (arguments.length == 1 && arguments[0].equals(LOAD_CLASSES)) {
			System.out.println(StartupClasses.load() + " classes loaded");
			return;
		}
		LogSetup.quiet();
		String named = System.getenv(ProcessEnvironment.SETTINGS_FILE);
		String file = (arguments.length > 0) ? arguments[0] : named;
		if (file == null) {
			System.err.println("no settings file: name it as argument or in " + ProcessEnvironment.SETTINGS_FILE);
			System.exit(INVALID_SETTINGS);
			return;
		}
		try {
			EntrySettings settings = SettingsReader.read(Path.of(file));
			LogQueue log = LogSetup.configure(settings.host());
			EntryHost host = new EntryHost(settings);
			host.start();
			SettingsWatch watch = new SettingsWatch(Path.of(file), host::apply);
			host.every(SettingsWatch.PERIOD_MILLIS, watch::check);
			Signal.handle(new Signal("HUP"), (signal) -> host.execute(watch::reload));
			Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(host, log), "stop"));
		}
		catch (SettingsException ex) {
			ex.errors().forEach(System.err::println);
			System.exit(INVALID_SETTINGS);
		}
	}

	private static void stop(EntryHost host, LogQueue log) {
		host.stop();
		log.flush(LOG_FLUSH_MILLIS);
	}

}
