package io.sequoialink.ledger.leases;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.sequoialink.catalogue.MemoryLogStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

class LogLeaseTableTests {

	private static final int SEEDS = Integer.getInteger("explorer.seeds", 150);

	private long nowMillis;

	private final MemoryLogStream log = new MemoryLogStream(() -> this.nowMillis);

	private final LogLeaseTable first = table();

	private final LogLeaseTable second = table();

	@Test
	void everySeedKeepsThePromises() throws Exception {
		int holders = 0;
		for (long seed = 0; seed < SEEDS; seed++) {
			LeaseExplorer explorer = new LeaseExplorer(seed, LeaseExplorer.Variant.CORRECT);
			assertThat(explorer.explore()).as("seed %s", seed).isEmpty();
			holders += explorer.holders();
		}
		assertThat(holders).as("leases with orders").isGreaterThan(SEEDS);
	}

	@ParameterizedTest
	@EnumSource(value = LeaseExplorer.Variant.class, mode = EnumSource.Mode.EXCLUDE, names = "CORRECT")
	void brokenVariantIsCaught(LeaseExplorer.Variant variant) throws Exception {
		List<String> broken = new ArrayList<>();
		for (long seed = 0; seed < SEEDS && broken.isEmpty(); seed++) {
			broken.addAll(new LeaseExplorer(seed, variant).explore());
		}
		assertThat(broken).isNotEmpty();
	}

	@Test
	void successorWaitsOutTheLeaseAndTheLongestOrder() throws Exception {
		this.nowMillis += 41_000;
		Lease lease = this.first.acquire("engine-1").orElseThrow();
		assertThat(this.second.acquire("engine-1")).isEmpty();
		this.nowMillis += 28_000;
		assertThat(this.first.mayOrder(lease)).isFalse();
		assertThat(this.second.acquire("engine-1")).isEmpty();
		this.nowMillis += 12_001;
		assertThat(this.second.acquire("engine-1").orElseThrow().fencingNumber()).isGreaterThan(lease.fencingNumber());
		assertThat(this.first.acquire("engine-1")).isEqualTo(Optional.empty());
	}

	@Test
	void holderRenewsWithoutAGapAndReleaseFreesAtOnce() throws Exception {
		this.nowMillis += 41_000;
		this.first.acquire("engine-1").orElseThrow();
		this.nowMillis += 20_000;
		Lease renewed = this.first.acquire("engine-1").orElseThrow();
		this.nowMillis += 20_000;
		assertThat(this.first.mayOrder(renewed)).isTrue();
		this.first.release(renewed);
		assertThat(this.second.acquire("engine-1")).isPresent();
	}

	@Test
	void lostAnswerIsSettledByReading() throws Exception {
		this.nowMillis += 41_000;
		this.log.nextAppends(MemoryLogStream.AppendFault.ANSWER_LOST);
		assertThat(this.first.acquire("engine-1")).isPresent();
	}

	private LogLeaseTable table() {
		return LogLeaseTable.builder(this.log)
			.nanos(() -> this.nowMillis * 1_000_000)
			.pause((nanos) -> this.nowMillis += 50)
			.build();
	}

}
