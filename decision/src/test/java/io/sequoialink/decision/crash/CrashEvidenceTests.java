package io.sequoialink.decision.crash;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Judgement of server crashes by the traits of requests, among them prompt parts.
 */
class CrashEvidenceTests {

	private static final long STEP = 1_000_000_000L;

	private static final long NOW = 1000 * STEP;

	private static final long PART = 1;

	private static final long NEIGHBOUR = 2;

	private final CrashEvidence evidence = new CrashEvidence();

	// Crash number n happens at n * STEP, its requests were sent half a step before.
	private void crash(long number, boolean answering, long... traits) {
		Map<Long, Involvement> involved = new HashMap<>();
		for (long trait : traits) {
			involved.put(trait, new Involvement(number * STEP - STEP / 2, answering));
		}
		this.evidence.recordCrash(number, number * STEP, involved, number * STEP);
	}

	private CrashEvidence.Findings judge() {
		return this.evidence.evaluate(List.of(), NOW);
	}

	private Set<Set<Long>> culprits() {
		Set<Set<Long>> culprits = new java.util.HashSet<>();
		judge().culprits().forEach((culprit) -> culprits.add(culprit.traits()));
		return culprits;
	}

	@ParameterizedTest(name = "{0} crashes, {1} while the server began the response")
	@CsvSource({ "1, 1, false, false", "2, 0, false, false", "2, 1, true, false", "3, 0, true, false",
			"3, 1, true, false", "3, 2, false, true", "4, 0, true, false", "5, 0, false, true" })
	void crashesInSuccessionMakeASuspectAndThenACulprit(int crashes, int answering, boolean suspect, boolean culprit) {
		for (int i = 1; i <= crashes; i++) {
			crash(i, i <= answering, PART, 100 + i);
		}
		assertThat(judge().suspects().containsKey(PART)).isEqualTo(suspect);
		assertThat(culprits().contains(Set.of(PART))).isEqualTo(culprit);
	}

	@Test
	void serversThatCrashTogetherCountOnce() {
		for (long server = 1; server <= 6; server++) {
			this.evidence.recordCrash(server, 10 * STEP + server, Map.of(PART, new Involvement(9 * STEP, true)),
					11 * STEP);
		}
		assertThat(judge().suspects()).isEmpty();
		assertThat(judge().culprits()).isEmpty();
	}

	@Test
	void aResponseEndsAllEarlierSuspicions() {
		crash(1, true, PART);
		crash(2, true, PART);
		this.evidence.recordResponse(PART, 2 * STEP + 1);
		crash(3, true, PART);
		assertThat(judge().suspects()).isEmpty();
		assertThat(judge().culprits()).isEmpty();
		assertThat(this.evidence.open(PART)).isTrue();
	}

	@Test
	void aNeighbourInSomeOfTheCrashesIsNotBlamed() {
		crash(1, true, PART, NEIGHBOUR);
		crash(2, true, PART, NEIGHBOUR);
		assertThat(judge().suspects()).containsOnlyKeys(PART, NEIGHBOUR);
		crash(3, true, PART);
		assertThat(culprits()).containsExactly(Set.of(PART));
		assertThat(judge().suspects()).isEmpty();
	}

	@Test
	void aNeighbourThatWaitedInMoreCrashesIsNotBlamedForTheRequestThatWasAnswered() {
		for (int i = 1; i <= 4; i++) {
			Map<Long, Involvement> involved = new HashMap<>();
			involved.put(NEIGHBOUR, new Involvement(i * STEP - STEP / 2, false));
			if (i > 1) {
				involved.put(PART, new Involvement(i * STEP - STEP / 2, true));
			}
			this.evidence.recordCrash(i, i * STEP, involved, i * STEP);
		}
		assertThat(culprits()).containsExactly(Set.of(PART));
	}

	@Test
	void traitsThatCanNotBeToldApartAreCulpritsTogetherUntilACrashTellsThemApart() {
		for (int i = 1; i <= 3; i++) {
			crash(i, true, PART, NEIGHBOUR);
		}
		Set<Long> both = Set.of(PART, NEIGHBOUR);
		assertThat(culprits()).containsExactly(both);
		assertThat(this.evidence.evaluate(List.of(both), NOW).suspects()).containsOnlyKeys(PART, NEIGHBOUR);
		crash(4, true, PART);
		List<CrashEvidence.Culprit> found = this.evidence.evaluate(List.of(both), NOW).culprits();
		assertThat(found).extracting(CrashEvidence.Culprit::traits).containsExactly(Set.of(PART));
		assertThat(this.evidence.evaluate(List.of(Set.of(PART)), NOW).culprits()).isEmpty();
	}

	// Guards against blaming a neighbour whose host reported a crash sooner than the host
	// of the culprit (found by the soak).
	@Test
	void noTraitBecomesACulpritBeforeTheReportsOfItsLastCrashAreComplete() {
		crash(1, true, PART, NEIGHBOUR);
		crash(2, true, PART, NEIGHBOUR);
		crash(3, false, NEIGHBOUR);
		long now = 3 * STEP + CrashEvidence.REPORT_DELAY_NANOS;
		assertThat(this.evidence.evaluate(List.of(), now - 1).culprits()).isEmpty();
		assertThat(this.evidence.evaluate(List.of(), now - 1).suspects()).containsKeys(PART, NEIGHBOUR);
		crash(3, true, PART);
		assertThat(this.evidence.evaluate(List.of(), now).culprits()).extracting(CrashEvidence.Culprit::traits)
			.containsExactly(Set.of(PART, NEIGHBOUR));
	}

	// Guards against blaming a part that many requests have, since the crash had taken
	// longer to prove than the reports of other hosts were awaited (soak seed 4001).
	@Test
	void theReportsOfOtherHostsAreAwaitedFromTheNewsOfACrashOn() {
		crash(1, true, PART, NEIGHBOUR);
		crash(2, true, PART, NEIGHBOUR);
		long proven = 3 * STEP + 600_000_000L;
		Involvement waiting = new Involvement(3 * STEP - STEP / 2, false);
		this.evidence.recordCrash(3, 3 * STEP, Map.of(NEIGHBOUR, waiting), proven);
		assertThat(this.evidence.evaluate(List.of(), proven + CrashEvidence.REPORT_DELAY_NANOS - 1).culprits())
			.isEmpty();
		assertThat(this.evidence.evaluate(List.of(), proven + CrashEvidence.REPORT_DELAY_NANOS).culprits()).hasSize(1);
	}

	// Guards against blaming a part that nearly all requests have, by a host that lacks
	// the reports of the culprit's hosts (found by CI on a busy machine).
	@Test
	void aTraitThatGotResponsesBeforeNeedsMoreCrashes() {
		this.evidence.recordResponse(PART, STEP / 4);
		for (int i = 1; i < CrashEvidence.RESPONDED_CRASHES; i++) {
			crash(i, true, PART, 100 + i);
			assertThat(culprits()).isEmpty();
		}
		crash(CrashEvidence.RESPONDED_CRASHES, true, PART);
		assertThat(culprits()).containsExactly(Set.of(PART));
	}

	@Test
	void whatIsKnownOfACrashNeedsNoFurtherReport() {
		Involvement answering = new Involvement(STEP, true);
		assertThat(this.evidence.knows(3, PART, answering)).isFalse();
		this.evidence.recordCrash(3, 2 * STEP, Map.of(PART, answering), 2 * STEP);
		assertThat(this.evidence.knows(3, PART, answering)).isTrue();
		assertThat(this.evidence.knows(3, PART, new Involvement(STEP - 1, false))).isTrue();
		assertThat(this.evidence.knows(3, PART, new Involvement(STEP + 1, false))).isFalse();
		assertThat(this.evidence.knows(3, NEIGHBOUR, answering)).isFalse();
		assertThat(this.evidence.knows(4, PART, answering)).isFalse();
	}

	@Test
	void twoCulpritsAreToldApart() {
		for (int i = 1; i <= 8; i++) {
			crash(i, true, (i % 2 == 0) ? PART : NEIGHBOUR, 100 + i);
		}
		assertThat(culprits()).containsExactlyInAnyOrder(Set.of(PART), Set.of(NEIGHBOUR));
	}

	@Test
	void reportsOfSeveralHostsOfOneCrashAreOneCrash() {
		crash(1, false, PART);
		crash(1, true, NEIGHBOUR);
		crash(2, false, PART);
		crash(2, true, PART);
		assertThat(judge().suspects().get(PART).crashes()).isEqualTo(2);
		assertThat(this.evidence.explained(List.of(Set.of(NEIGHBOUR)))).containsExactly(1L);
	}

	@Test
	void crashesAreForgottenAfterALongTime() {
		crash(1, true, PART);
		this.evidence.expire(STEP + CrashEvidence.RETENTION_NANOS);
		assertThat(this.evidence.isEmpty()).isFalse();
		this.evidence.expire(STEP + CrashEvidence.RETENTION_NANOS + 1);
		assertThat(this.evidence.isEmpty()).isTrue();
	}

}
