package io.sequoialink.bench.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

import io.sequoialink.catalogue.LogCatalogue;
import io.sequoialink.catalogue.PeerTail;
import io.sequoialink.model.CatalogueView;
import io.sequoialink.model.ModelVersion;
import io.sequoialink.model.ObjectKey;
import io.sequoialink.model.VersionState;
import io.sequoialink.remote.LogStream;
import io.sequoialink.remote.LogUnavailableException;

/**
 * One entry host of the configuration experiment: polls the log, asks a random peer,
 * starts work on offered versions while its view is confirmed within the bound. Its state
 * is confined to its thread but for the catalogue, which is thread-safe.
 */
final class ConfigHost implements Runnable {

	/** The oldest confirmation with which new work is started. */
	static final Duration BOUND = Duration.ofSeconds(5);

	private static final long PERIOD_MILLIS = 100;

	private static final int PEER_RECORDS = 64;

	private final HostLog log;

	private final List<ConfigHost> hosts;

	private final Random random;

	private final Queue<Started> started = new ConcurrentLinkedQueue<>();

	private final Queue<Seen> seen = new ConcurrentLinkedQueue<>();

	private final AtomicInteger refused = new AtomicInteger();

	private final AtomicInteger reverts = new AtomicInteger();

	private volatile LogCatalogue catalogue;

	private volatile boolean stopped;

	private volatile boolean restart;

	private Map<ObjectKey, Long> revisions = new TreeMap<>();

	ConfigHost(LogStream stream, List<ConfigHost> hosts, long seed) {
		this.log = new HostLog(stream);
		this.hosts = hosts;
		this.random = new Random(seed);
		this.catalogue = newCatalogue();
	}

	LogCatalogue catalogue() {
		return this.catalogue;
	}

	HostLog log() {
		return this.log;
	}

	Queue<Started> started() {
		return this.started;
	}

	Queue<Seen> seen() {
		return this.seen;
	}

	int refused() {
		return this.refused.get();
	}

	int reverts() {
		return this.reverts.get();
	}

	/** Replaces the host by an empty one. */
	void restart() {
		this.restart = true;
	}

	void stop() {
		this.stopped = true;
	}

	@Override
	public void run() {
		while (!this.stopped) {
			if (this.restart) {
				this.restart = false;
				this.catalogue = newCatalogue();
				this.revisions = new TreeMap<>();
			}
			long before = this.catalogue.view().revision();
			poll();
			askPeer();
			note(before);
			startWork();
			sleep();
		}
	}

	private LogCatalogue newCatalogue() {
		return LogCatalogue.builder(this.log)
			.checkpointWriter(() -> this.hosts.get(0) == this)
			.checkpointChanges(50)
			.build();
	}

	private void poll() {
		try {
			this.catalogue.poll();
			this.catalogue.writeCheckpointIfDue();
		}
		catch (LogUnavailableException ex) {
			// The peers are asked next.
		}
	}

	private void askPeer() {
		ConfigHost peer = this.hosts.get(this.random.nextInt(this.hosts.size()));
		long asked = System.nanoTime();
		PeerTail answer = peer.catalogue().recordsSince(this.catalogue.wantedFromPeer(), PEER_RECORDS);
		this.catalogue.acceptFromPeer(answer, asked);
	}

	private void note(long before) {
		CatalogueView view = this.catalogue.view();
		if (view.revision() != before) {
			this.seen.add(new Seen(before, view.revision(), System.currentTimeMillis()));
		}
		for (CatalogueView.Entry entry : view.entries()) {
			Long old = this.revisions.put(entry.object().key(), entry.revision());
			this.reverts.addAndGet((old != null && old > entry.revision()) ? 1 : 0);
		}
	}

	private void startWork() {
		if (this.catalogue.age().compareTo(BOUND) > 0) {
			this.refused.incrementAndGet();
			return;
		}
		long now = System.currentTimeMillis();
		this.catalogue.view()
			.versions()
			.filter((version) -> version.state() == VersionState.OFFERED)
			.map(ModelVersion::key)
			.forEach((key) -> this.started.add(new Started(key, now)));
	}

	private void sleep() {
		try {
			Thread.sleep(PERIOD_MILLIS);
		}
		catch (InterruptedException ex) {
			this.stopped = true;
		}
	}

	/**
	 * New work on a version.
	 *
	 * @param version the version
	 * @param atMillis when it started, epoch milliseconds
	 */
	record Started(ObjectKey version, long atMillis) {
	}

	/**
	 * A step of the host's view.
	 *
	 * @param from the revision before
	 * @param to the revision after
	 * @param atMillis when it was seen, epoch milliseconds
	 */
	record Seen(long from, long to, long atMillis) {
	}

}
