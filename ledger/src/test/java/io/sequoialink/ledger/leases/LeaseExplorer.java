package io.sequoialink.ledger.leases;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import io.sequoialink.catalogue.Interleaver;
import io.sequoialink.catalogue.MemoryLogStream;
import io.sequoialink.catalogue.SteppedLogStream;
import io.sequoialink.remote.LogUnavailableException;

/**
 * Runs three hosts that give orders to one engine, which ignores fencing numbers, in an
 * order and with faults that a seed decides. An order must never take effect after one of
 * a newer lease.
 */
final class LeaseExplorer {

	private static final int LEASE_MILLIS = 6_000;

	private static final int MARGIN_MILLIS = 500;

	private static final int ORDER_MILLIS = 3_000;

	private static final long RETENTION_MILLIS = 30_000;

	private static final int HOSTS = 3;

	private static final int STEPS = 10;

	private final Random random;

	private final Variant variant;

	private final MemoryLogStream log = new MemoryLogStream(this::millis);

	private final Interleaver interleaver;

	private final List<Long> orders = new ArrayList<>();

	private final List<String> broken = new ArrayList<>();

	private long nowMillis;

	private long downUntil;

	private int ids;

	LeaseExplorer(long seed, Variant variant) {
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
		return this.broken;
	}

	int holders() {
		return (int) this.orders.stream().distinct().count();
	}

	private long millis() {
		return this.nowMillis;
	}

	private void betweenSteps() {
		this.nowMillis += this.random.nextInt(150);
		if (this.random.nextInt(20) == 0) {
			this.log.deliverDelayed();
		}
		if (this.random.nextInt(300) == 0) {
			this.downUntil = this.nowMillis + this.random.nextInt(10_000);
		}
		if (this.random.nextInt(400) == 0) {
			this.interleaver.killOne();
		}
		this.log.down(this.nowMillis < this.downUntil);
		this.log.trimBefore(this.nowMillis - RETENTION_MILLIS);
	}

	private void host() throws Exception {
		LogLeaseTable table = table();
		for (int i = 0; i < STEPS; i++) {
			try {
				Optional<Lease> lease = table.acquire("engine-1");
				if (lease.isPresent()) {
					order(table, lease.get());
				}
			}
			catch (LogUnavailableException ex) {
				// An outage is part of the exploration.
			}
			this.interleaver.pause(this.random.nextInt(5_000));
			if (this.random.nextInt(10) == 0) {
				table = table();
			}
		}
	}

	private LogLeaseTable table() {
		int order = (this.variant == Variant.NO_WAIT_FOR_ORDERS) ? 0 : ORDER_MILLIS;
		return LogLeaseTable.builder(new SteppedLogStream(this.log, this.interleaver, this.random))
			.nanos(() -> this.nowMillis * 1_000_000)
			.pause((nanos) -> this.interleaver.step())
			.ids(() -> "lease" + this.ids++)
			.times(Duration.ofMillis(LEASE_MILLIS), Duration.ofMillis(MARGIN_MILLIS), Duration.ofMillis(order))
			.build();
	}

	private void order(LogLeaseTable table, Lease lease) {
		while (this.random.nextInt(3) > 0) {
			this.interleaver.pause(this.random.nextInt((this.random.nextInt(4) == 0) ? 3 * LEASE_MILLIS : 1_000));
			if (table.mayOrder(lease) || this.variant == Variant.NO_CHECK) {
				this.interleaver.pause(this.random.nextInt(ORDER_MILLIS - 200));
				takeEffect(lease.fencingNumber());
			}
		}
		if (this.random.nextInt(4) == 0) {
			table.release(lease);
		}
	}

	private void takeEffect(long number) {
		if (this.orders.stream().anyMatch((earlier) -> earlier > number)) {
			this.broken.add("an order of lease " + number + " took effect after " + this.orders);
		}
		this.orders.add(number);
	}

	/** What the hosts do. */
	enum Variant {

		/** The product's rules. */
		CORRECT,

		/** The holder does not look at its clock before an order. */
		NO_CHECK,

		/** The successor waits for the lease but not for the longest order. */
		NO_WAIT_FOR_ORDERS

	}

}
