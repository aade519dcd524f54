package io.sequoialink.ledger.claims;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import io.sequoialink.catalogue.Interleaver;
import io.sequoialink.catalogue.MemoryLogStream;
import io.sequoialink.catalogue.SteppedLogStream;
import io.sequoialink.ledger.ClaimDecision;
import io.sequoialink.ledger.ClaimKey;
import io.sequoialink.ledger.RecordedOutcome;
import io.sequoialink.model.AccountId;
import io.sequoialink.model.RequestId;
import io.sequoialink.remote.LogUnavailableException;

/**
 * Runs three hosts over one log in an order and with faults that a seed decides, and
 * collects every broken promise. Two executions of one key must lie further apart than
 * the window less the freshness and the longest pause between check and dispatch.
 */
final class ClaimExplorer {

	static final long WINDOW_MILLIS = 60_000;

	private static final long RETENTION_MILLIS = 100_000;

	private static final long FRESHNESS_MILLIS = 5_000;

	private static final int DISPATCH_MILLIS = 8_000;

	private static final long HELD_MILLIS = WINDOW_MILLIS - FRESHNESS_MILLIS - DISPATCH_MILLIS - 200;

	private static final int HOSTS = 3;

	private static final int KEYS = 2;

	private static final int ATTEMPTS = 5;

	private final Random random;

	private final Variant variant;

	private final MemoryLogStream log = new MemoryLogStream(this::millis);

	private final Interleaver interleaver;

	private final Map<String, List<Execution>> executions = new HashMap<>();

	private final Set<String> refused = new HashSet<>();

	private final List<String> broken = new ArrayList<>();

	private long nowMillis;

	private long downUntil;

	private int granted;

	private int ids;

	ClaimExplorer(long seed, Variant variant) {
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
		this.executions.forEach(this::check);
		return this.broken;
	}

	int executed() {
		return this.executions.size();
	}

	int granted() {
		return this.granted;
	}

	private void check(String key, List<Execution> done) {
		for (int i = 0; i < done.size(); i++) {
			if (this.refused.contains(done.get(i).request())) {
				this.broken.add(done.get(i).request() + " was said not to be run");
			}
			if (i > 0 && done.get(i).atMillis() - done.get(i - 1).atMillis() < HELD_MILLIS) {
				this.broken.add(key + " was executed by " + done.get(i - 1) + " and " + done.get(i));
			}
		}
	}

	private long millis() {
		return this.nowMillis;
	}

	private void betweenSteps() {
		this.nowMillis += this.random.nextInt(200);
		if (this.random.nextInt(20) == 0) {
			this.log.deliverDelayed();
		}
		if (this.random.nextInt(200) == 0) {
			this.downUntil = this.nowMillis + this.random.nextInt(15_000);
		}
		if (this.random.nextInt(300) == 0) {
			this.interleaver.killOne();
		}
		this.log.down(this.nowMillis < this.downUntil);
		this.log.trimBefore(this.nowMillis - RETENTION_MILLIS);
	}

	private void host() throws Exception {
		LogClaimTable table = table();
		for (int i = 0; i < ATTEMPTS; i++) {
			attempt(table, new ClaimKey(new AccountId("a"), "deposits", "k" + this.random.nextInt(KEYS)),
					"r" + this.ids++);
			table.flush();
			this.interleaver.pause(this.random.nextInt((this.random.nextInt(4) == 0) ? 90_000 : 3_000));
			if (this.random.nextInt(10) == 0) {
				table = table();
			}
		}
	}

	private LogClaimTable table() {
		Duration freshness = Duration.ofMillis((this.variant == Variant.NO_FENCE) ? 1_000_000 : FRESHNESS_MILLIS);
		return LogClaimTable.builder(new SteppedLogStream(this.log, this.interleaver, this.random))
			.nanos(() -> this.nowMillis * 1_000_000)
			.wallMillis(this::millis)
			.pause((nanos) -> this.interleaver.step())
			.ids(() -> "claim" + this.ids++)
			.window(Duration.ofMillis(WINDOW_MILLIS))
			.freshness(freshness, Duration.ofMillis(500))
			.longestCall(Duration.ofSeconds(2))
			.build();
	}

	private void attempt(LogClaimTable table, ClaimKey key, String request) {
		try {
			ClaimDecision decision = table.claim(key, new RequestId(request), "f", Duration.ofSeconds(3));
			if (decision instanceof ClaimDecision.Granted claim) {
				this.granted++;
				dispatch(table, claim, request);
			}
			else if (decision instanceof ClaimDecision.Replay replay) {
				checkReplay(key, replay.outcome());
			}
			else if (this.variant == Variant.TRANSFER && decision instanceof ClaimDecision.OutcomeUnknown) {
				execute(key, request);
			}
		}
		catch (LogUnavailableException ex) {
			this.refused.add(request);
		}
	}

	private void dispatch(LogClaimTable table, ClaimDecision.Granted claim, String request) {
		if (this.random.nextInt(4) == 0) {
			this.interleaver.pause(this.random.nextInt((int) (3 * WINDOW_MILLIS)));
		}
		if (!table.mayDispatch(claim)) {
			table.recordNotDispatched(claim);
			this.refused.add(request);
			return;
		}
		this.interleaver.pause(this.random.nextInt(DISPATCH_MILLIS));
		execute(claim.key(), request);
		this.interleaver.step();
		table.recordOutcome(claim, new RecordedOutcome(new RequestId(request), 200, "text/plain",
				request.getBytes(StandardCharsets.UTF_8)));
	}

	private void execute(ClaimKey key, String request) {
		this.executions.computeIfAbsent(key.idempotencyKey(), (same) -> new ArrayList<>())
			.add(new Execution(request, this.nowMillis));
	}

	private void checkReplay(ClaimKey key, RecordedOutcome outcome) {
		String body = new String(outcome.body(), StandardCharsets.UTF_8);
		if (this.executions.getOrDefault(key.idempotencyKey(), List.of())
			.stream()
			.noneMatch((done) -> done.request().equals(body)) || !outcome.request().value().equals(body)) {
			this.broken.add(key + " was answered with the outcome of " + outcome.request());
		}
	}

	private record Execution(String request, long atMillis) {
	}

	/** What the hosts do. */
	enum Variant {

		/** The product's rules. */
		CORRECT,

		/** A claim stays fresh for ever. */
		NO_FENCE,

		/** A claim without an outcome passes to the next host that asks. */
		TRANSFER

	}

}
