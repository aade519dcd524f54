package io.sequoialink.catalogue;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;

import io.sequoialink.model.CatalogueView;
import io.sequoialink.model.ObjectKey;
import io.sequoialink.remote.AppendUnknownException;
import io.sequoialink.remote.LogRecord;
import io.sequoialink.remote.LogUnavailableException;

/**
 * Runs three hosts over one configuration stream in an order and with faults that a seed
 * decides, and collects every broken promise. The reference is the fold of everything
 * that the log ever took.
 */
final class CatalogueExplorer {

	private static final long RETENTION_MILLIS = 30_000;

	private static final int HOSTS = 3;

	private static final int STEPS = 12;

	private static final int OBJECTS = 3;

	private final Random random;

	private final Variant variant;

	private final MemoryLogStream log = new MemoryLogStream(this::millis);

	private final Interleaver interleaver;

	private final Map<Change, Verdict> verdicts = new HashMap<>();

	private final List<LogCatalogue> hosts = new ArrayList<>();

	private final List<String> broken = new ArrayList<>();

	private long nowMillis;

	private long downUntil;

	private int ids;

	private int checkpoints;

	CatalogueExplorer(long seed, Variant variant) {
		this.random = new Random(seed);
		this.variant = variant;
		this.interleaver = new Interleaver(this.random, this::millis);
	}

	/** Runs to the end and returns the broken promises. */
	List<String> explore() throws Exception {
		for (int i = 0; i < HOSTS; i++) {
			this.interleaver.add(this::host);
		}
		this.interleaver.run(this::betweenSteps);
		this.log.down(false);
		FoldState reference = checkVerdicts();
		this.hosts.add(catalogue(true));
		for (LogCatalogue host : this.hosts) {
			host.poll();
			if (!same(host.state(), reference)) {
				this.broken.add("a host ended with another state");
			}
		}
		return this.broken;
	}

	int checkpoints() {
		return this.checkpoints;
	}

	private long millis() {
		return this.nowMillis;
	}

	private void betweenSteps() {
		this.nowMillis += this.random.nextInt(100);
		if (this.random.nextInt(20) == 0) {
			this.log.deliverDelayed();
		}
		if (this.random.nextInt(200) == 0) {
			this.downUntil = this.nowMillis + this.random.nextInt(4_000);
		}
		this.log.down(this.nowMillis < this.downUntil);
		this.log.trimBefore(this.nowMillis - RETENTION_MILLIS);
		if (this.random.nextInt(25) == 0) {
			checkRecoverable();
		}
		if (this.random.nextInt(40) == 0) {
			forgeCheckpoint();
		}
	}

	private void host() throws Exception {
		LogCatalogue catalogue = catalogue(false);
		this.hosts.add(catalogue);
		for (int i = 0; i < STEPS; i++) {
			long before = catalogue.view().revision();
			switch (this.random.nextInt(4)) {
				case 0 -> change(catalogue);
				case 1 -> exchange(catalogue);
				default -> poll(catalogue);
			}
			this.checkpoints += catalogue.writeCheckpointIfDue() ? 1 : 0;
			if (catalogue.view().revision() < before) {
				this.broken.add("a view went backwards");
			}
			this.interleaver.pause(this.random.nextInt(4_000));
			if (this.random.nextInt(12) == 0) {
				this.hosts.remove(catalogue);
				catalogue = catalogue(false);
				this.hosts.add(catalogue);
			}
		}
	}

	private LogCatalogue catalogue(boolean direct) {
		long age = (this.variant == Variant.LATE_CHECKPOINT) ? 2 * RETENTION_MILLIS : RETENTION_MILLIS / 4;
		return LogCatalogue.builder(direct ? this.log : new SteppedLogStream(this.log, this.interleaver, this.random))
			.nanos(() -> this.nowMillis * 1_000_000)
			.wallMillis(this::millis)
			.sleeper((nanos) -> this.interleaver.step())
			.applyTimeout(Duration.ofSeconds(3))
			.checkpointWriter(() -> true)
			.checkpointChanges((this.variant == Variant.LATE_CHECKPOINT) ? 1_000 : 6)
			.checkpointAge(Duration.ofMillis(age))
			.checkpointReader(
					(this.variant == Variant.NO_DIGEST) ? CatalogueExplorer::readWithoutDigest : Checkpoint::read)
			.build();
	}

	private void change(LogCatalogue catalogue) {
		String id = "c" + ((this.random.nextInt(8) == 0) ? Math.max(0, this.ids - 1) : this.ids++);
		String name = "m" + this.random.nextInt(OBJECTS);
		CatalogueView view = catalogue.view();
		ObjectKey key = Changes.version(name, 0).key();
		long revision = view.entry(key).map(CatalogueView.Entry::revision).orElse(-1L);
		boolean delete = revision >= 0 && this.random.nextInt(3) == 0;
		Change change = delete ? Changes.delete(id, key.kind(), name, revision)
				: Changes.put(id, Changes.version(name, this.random.nextInt(1_000)), revision);
		try {
			Verdict verdict = catalogue.apply(change);
			if (verdict.offset() >= 0 && verdict.kind() != Verdict.Kind.DUPLICATE) {
				this.verdicts.put(change, verdict);
			}
		}
		catch (LogUnavailableException ex) {
			if (ex.getMessage().contains("not appended")) {
				this.verdicts.put(change, new Verdict(change, -1, Verdict.Kind.INVALID, Optional.empty(), ""));
			}
			else {
				this.verdicts.remove(change);
			}
		}
	}

	private void exchange(LogCatalogue catalogue) {
		LogCatalogue peer = this.hosts.get(this.random.nextInt(this.hosts.size()));
		long asked = this.nowMillis * 1_000_000;
		PeerTail answer = peer.recordsSince(catalogue.wantedFromPeer(), 1 + this.random.nextInt(8));
		this.interleaver.pause(this.random.nextInt(2_000));
		catalogue.acceptFromPeer(answer, asked);
	}

	private static FoldState readWithoutDigest(List<ConfigRecord.ChunkRecord> chunks) throws MalformedRecordException {
		ByteArrayOutputStream joined = new ByteArrayOutputStream();
		chunks.forEach((chunk) -> joined.writeBytes(chunk.data()));
		return Checkpoint.decode(joined.toByteArray(), chunks.get(0).covers());
	}

	private static void poll(LogCatalogue catalogue) {
		try {
			catalogue.poll();
		}
		catch (LogUnavailableException ex) {
			// An outage is part of the exploration.
		}
	}

	private FoldState reference() {
		FoldState state = FoldState.empty();
		for (LogRecord record : this.log.taken()) {
			state = CatalogueFold.step(state, record).state();
		}
		return state;
	}

	private FoldState checkVerdicts() {
		FoldState state = FoldState.empty();
		Map<Change, Verdict> first = new HashMap<>();
		for (LogRecord record : this.log.taken()) {
			CatalogueFold.Step step = CatalogueFold.step(state, record);
			state = step.state();
			step.verdict().ifPresent((verdict) -> first.putIfAbsent(verdict.change(), verdict));
		}
		this.verdicts.forEach((change, told) -> {
			Verdict real = first.get(change);
			boolean absent = told.offset() < 0;
			if (absent ? real != null : real == null || real.kind() != told.kind() || real.offset() != told.offset()) {
				this.broken.add("change " + change.id() + " was told as " + told + " and is " + real);
			}
		});
		return state;
	}

	private void checkRecoverable() {
		boolean wasDown = this.nowMillis < this.downUntil;
		this.log.down(false);
		try {
			LogCatalogue cold = catalogue(true);
			cold.poll();
			if (!same(cold.state(), reference())) {
				this.broken.add("the log alone does not give the state at " + this.nowMillis);
			}
		}
		catch (LogUnavailableException ex) {
			this.broken.add("the log can't be read");
		}
		this.log.down(wasDown);
	}

	/** Appends a checkpoint with a foreign state under the digest of the true one. */
	private void forgeCheckpoint() {
		FoldState state = reference();
		if (state.next() > 0) {
			ConfigRecord.ChunkRecord real = Checkpoint.write(state).get(0);
			FoldState foreign = new FoldState(CatalogueView.of(state.next() - 1, List.of()), ChangeIds.empty(),
					new TreeMap<>(), state.logMillis());
			byte[] data = Checkpoint.write(foreign).get(0).data();
			append(new ConfigRecord.ChunkRecord("forged-" + this.ids, real.covers(), 0, 1, real.sha256(), data));
			append(new ConfigRecord.ChunkRecord("torn-" + this.ids, real.covers(), 1, 2, real.sha256(), data));
		}
	}

	private void append(ConfigRecord.ChunkRecord chunk) {
		try {
			this.log.append(List.of(ConfigRecords.write(chunk)));
		}
		catch (LogUnavailableException | AppendUnknownException ex) {
			// The log is down at this moment.
		}
	}

	private static boolean same(FoldState a, FoldState b) {
		return a.next() == b.next() && a.lastChanges().equals(b.lastChanges())
				&& List.copyOf(a.view().entries()).equals(List.copyOf(b.view().entries()))
				&& a.changeIds().entries().equals(b.changeIds().entries());
	}

	/** What the hosts do. */
	enum Variant {

		/** The product's rules. */
		CORRECT,

		/** Checkpoints are taken without a look at their digest. */
		NO_DIGEST,

		/** Retention cuts the history before the next checkpoint is written. */
		LATE_CHECKPOINT

	}

}
