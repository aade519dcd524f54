package io.sequoialink.bench.faults;

import java.util.Optional;

import io.sequoialink.bench.live.LiveFleet;
import io.sequoialink.catalogue.Change;
import io.sequoialink.catalogue.Verdict;
import io.sequoialink.daemon.host.EntryHost;
import io.sequoialink.model.CatalogueView;
import io.sequoialink.model.ModelVersion;
import io.sequoialink.model.Selector;
import io.sequoialink.model.VersionState;
import io.sequoialink.remote.LogUnavailableException;

/**
 * An operator who withdraws a version and tries again while the log is down. Stateless.
 */
final class Withdrawing {

	private static final long RETRY_MILLIS = 300;

	private static final int TRIES = 100;

	private Withdrawing() {
	}

	/**
	 * Withdraws the selected version on a thread of its own.
	 * @param fleet the fleet
	 * @param selector selects one version
	 * @param accepted run when the log has accepted the change
	 */
	static void inBackground(LiveFleet fleet, Selector selector, Runnable accepted) {
		Thread thread = new Thread(() -> {
			for (int i = 0; i < TRIES; i++) {
				if (withdraw(fleet.hosts().get(i % fleet.hosts().size()), selector, i)) {
					accepted.run();
					return;
				}
			}
		}, "operator");
		thread.setDaemon(true);
		thread.start();
	}

	private static boolean withdraw(EntryHost host, Selector selector, int number) {
		CatalogueView view = host.catalogue().view();
		ModelVersion version = view.versions()
			.filter((known) -> selector.matches(known.labels()))
			.findFirst()
			.orElseThrow();
		if (version.state() == VersionState.WITHDRAWN) {
			return true;
		}
		long revision = view.entry(version.key()).orElseThrow().revision();
		try {
			Change change = new Change("withdraw-in-faults-" + number, version.key(), revision,
					Optional.of(version.withState(VersionState.WITHDRAWN)), "operator", "in the midst of faults");
			return host.catalogue().apply(change).kind() == Verdict.Kind.ACCEPTED;
		}
		catch (LogUnavailableException ex) {
			pause();
			return false;
		}
	}

	private static void pause() {
		try {
			Thread.sleep(RETRY_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
