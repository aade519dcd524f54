package io.sequoialink.ledger.claims;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import io.sequoialink.catalogue.MemoryLogStream;
import io.sequoialink.ledger.ClaimDecision;
import io.sequoialink.ledger.ClaimKey;
import io.sequoialink.ledger.RecordedOutcome;
import io.sequoialink.model.AccountId;
import io.sequoialink.model.RequestId;
import io.sequoialink.remote.LogUnavailableException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class LogClaimTableTests {

	private static final ClaimKey KEY = new ClaimKey(new AccountId("bergvik"), "booking", "deposit-1");

	private static final int SEEDS = Integer.getInteger("explorer.seeds", 150);

	private long nowMillis;

	private final MemoryLogStream log = new MemoryLogStream(() -> this.nowMillis);

	private final LogClaimTable first = table();

	private final LogClaimTable second = table();

	@Test
	void everySeedKeepsThePromises() throws Exception {
		int granted = 0;
		for (long seed = 0; seed < SEEDS; seed++) {
			ClaimExplorer explorer = new ClaimExplorer(seed, ClaimExplorer.Variant.CORRECT);
			assertThat(explorer.explore()).as("seed %s", seed).isEmpty();
			granted += explorer.executed();
		}
		assertThat(granted).as("keys that were executed").isGreaterThan(SEEDS / 2);
	}

	@ParameterizedTest
	@EnumSource(value = ClaimExplorer.Variant.class, mode = EnumSource.Mode.EXCLUDE, names = "CORRECT")
	void brokenVariantIsCaught(ClaimExplorer.Variant variant) throws Exception {
		List<String> broken = new ArrayList<>();
		for (long seed = 0; seed < SEEDS && broken.isEmpty(); seed++) {
			broken.addAll(new ClaimExplorer(seed, variant).explore());
		}
		assertThat(broken).isNotEmpty();
	}

	@Test
	void recordedOutcomeIsReplayedAtEveryHost() throws Exception {
		ClaimDecision.Granted claim = granted(this.first);
		assertThat(this.first.mayDispatch(claim)).isTrue();
		assertThat(this.first.mayDispatch(claim)).isFalse();
		assertThat(claim(this.second, "f")).isInstanceOf(ClaimDecision.InProgress.class);
		byte[] body = "booked".getBytes(StandardCharsets.UTF_8);
		this.first.recordOutcome(claim, new RecordedOutcome(new RequestId("r"), 201, "text/plain", body));
		this.first.flush();
		assertThat(claim(this.second, "f")).isInstanceOfSatisfying(ClaimDecision.Replay.class,
				(replay) -> assertThat(replay.outcome().body()).isEqualTo(body));
		assertThat(claim(this.second, "other")).isInstanceOf(ClaimDecision.KeyReused.class);
	}

	@Test
	void claimWithoutOutcomeIsNeverRepeated() throws Exception {
		granted(this.first);
		this.nowMillis += 120_000;
		assertThat(claim(this.second, "f")).isInstanceOf(ClaimDecision.OutcomeUnknown.class);
	}

	@Test
	void lapsedClaimIsNotDispatchedAndFreesItsKey() throws Exception {
		ClaimDecision.Granted claim = granted(this.first);
		this.nowMillis += 10_000;
		assertThat(this.first.mayDispatch(claim)).isFalse();
		this.first.recordNotDispatched(claim);
		this.first.flush();
		granted(this.second);
	}

	@ParameterizedTest
	@EnumSource(value = MemoryLogStream.AppendFault.class, names = { "ANSWER_LOST", "DROPPED", "DELAYED" })
	void claimThatIsNotSettledInTimeIsReleasedHoweverLateItAppears(MemoryLogStream.AppendFault fault) throws Exception {
		this.log.nextAppends(fault);
		this.log.cutReadsAfterAppend();
		assertThatExceptionOfType(LogUnavailableException.class).isThrownBy(() -> claim(this.first, "f"))
			.withMessageContaining("not run");
		this.log.unreadable(false);
		this.first.flush();
		this.log.deliverDelayed();
		granted(this.second);
	}

	@Test
	void outcomeThatArrivesAfterTheWindowIsIgnored() throws Exception {
		ClaimDecision.Granted claim = granted(this.first);
		this.nowMillis += Duration.ofHours(2).toMillis();
		this.first.recordOutcome(claim, new RecordedOutcome(new RequestId("r"), 200, "text/plain", new byte[0]));
		this.first.flush();
		granted(this.second);
	}

	@Test
	void hostThatKnowsTheClaimNeverSaysNotRunDuringAnOutage() throws Exception {
		granted(this.first);
		this.log.down(true);
		assertThat(claim(this.first, "f")).isInstanceOf(ClaimDecision.InProgress.class);
	}

	@Test
	void outcomeAboveTheBoundIsDroppedAndBlocksNoOther() throws Exception {
		ClaimDecision.Granted claim = granted(this.first);
		byte[] body = new byte[OutcomeQueue.MAX_RECORD_BYTES];
		this.first.recordOutcome(claim, new RecordedOutcome(new RequestId("r"), 200, "text/plain", body));
		assertThat(this.first.flush()).isZero();
		assertThat(claim(this.second, "f")).isInstanceOf(ClaimDecision.InProgress.class);
	}

	@Test
	void logOutageRefusesTheClaim() {
		this.log.down(true);
		assertThatExceptionOfType(LogUnavailableException.class).isThrownBy(() -> claim(this.first, "f"));
	}

	@Test
	void keyIsHeldForTheWindowAndForANewReader() throws Exception {
		granted(this.first);
		this.nowMillis += Duration.ofMinutes(59).toMillis();
		this.second.claim(new ClaimKey(KEY.account(), KEY.service(), "other"), new RequestId("o"), "f",
				Duration.ofSeconds(1));
		assertThat(claim(table(), "f")).isInstanceOf(ClaimDecision.OutcomeUnknown.class);
		this.nowMillis += Duration.ofMinutes(2).toMillis();
		this.second.claim(new ClaimKey(KEY.account(), KEY.service(), "third"), new RequestId("t"), "f",
				Duration.ofSeconds(1));
		granted(table());
	}

	private LogClaimTable table() {
		return LogClaimTable.builder(this.log)
			.nanos(() -> this.nowMillis * 1_000_000)
			.wallMillis(() -> this.nowMillis)
			.pause((nanos) -> this.nowMillis += 20)
			.build();
	}

	private static ClaimDecision claim(LogClaimTable table, String fingerprint) throws LogUnavailableException {
		return table.claim(KEY, new RequestId("r"), fingerprint, Duration.ofSeconds(1));
	}

	private static ClaimDecision.Granted granted(LogClaimTable table) throws LogUnavailableException {
		ClaimDecision decision = claim(table, "f");
		assertThat(decision).isInstanceOf(ClaimDecision.Granted.class);
		return (ClaimDecision.Granted) decision;
	}

}
