package io.sequoialink.cli;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;

import io.sequoialink.daemon.host.ConfiguredHost;
import io.sequoialink.daemon.host.EntryHost;
import io.sequoialink.daemon.settings.Settings;
import io.sequoialink.daemon.settings.SettingsException;
import io.sequoialink.daemon.settings.SettingsFile;
import io.sequoialink.remote.HttpClientPool;
import picocli.CommandLine;

/**
 * Runs one entry host until the process receives SIGTERM. Confined to the main thread,
 * except for the shutdown hook, which drains the host and exits with 1 if requests were
 * aborted.
 */
@CommandLine.Command(name = "serve", mixinStandardHelpOptions = true,
		description = "Runs one entry host until SIGTERM, then drains it.",
		footer = { "", "Example:", "  sequoialink serve --settings examples/magnolia/host-1.yaml" })
final class ServeCommand implements Callable<Integer> {

	private static final int INVALID_SETTINGS = 2;

	@CommandLine.Spec
	private CommandLine.Model.CommandSpec spec;

	@CommandLine.Option(names = "--settings", required = true, paramLabel = "FILE", description = "the host's settings")
	private Path file;

	@Override
	public Integer call() throws Exception {
		Settings settings;
		try {
			settings = SettingsFile.read(this.file);
		}
		catch (SettingsException ex) {
			PrintWriter err = this.spec.commandLine().getErr();
			ex.errors().forEach(err::println);
			err.flush();
			return INVALID_SETTINGS;
		}
		LogbackConfigurer.configure(settings.logging());
		HttpClientPool pool = new HttpClientPool(HttpClientPool.DEFAULT_MAX_CLIENTS,
				settings.platform().connectTimeout());
		EntryHost host = EntryHost.start(ConfiguredHost.identity(settings, System.currentTimeMillis()),
				ConfiguredHost.outside(settings.platform(), pool), ConfiguredHost.policies(settings.policy()));
		CountDownLatch stopped = new CountDownLatch(1);
		Runtime.getRuntime().addShutdownHook(new Thread(() -> {
			int abortedRequests = host.stop();
			pool.close();
			stopped.countDown();
			Runtime.getRuntime().halt((abortedRequests > 0) ? 1 : 0);
		}, "drain"));
		stopped.await();
		return 0;
	}

}
