package io.sequoialink.catalogue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import io.sequoialink.model.Cascade;
import io.sequoialink.model.Labels;
import io.sequoialink.model.ObjectKind;
import io.sequoialink.model.Rollout;
import io.sequoialink.model.RolloutStage;
import io.sequoialink.model.RolloutState;
import io.sequoialink.model.Selector;
import io.sequoialink.model.VersionId;
import io.sequoialink.model.VersionState;
import io.sequoialink.remote.LogRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class CatalogueFoldTests {

	private FoldState state = FoldState.empty();

	@Test
	void secondChangeAgainstOneRevisionIsAConflictThatShowsTheWinner() {
		assertThat(fold(Changes.put("c1", Changes.version("m1", 5), -1))).isEqualTo(Verdict.Kind.ACCEPTED);
		assertThat(fold(Changes.put("c2", Changes.version("m1", 6), 0))).isEqualTo(Verdict.Kind.ACCEPTED);
		Verdict conflict = verdict(Changes.put("c3", Changes.version("m1", 7), 0));
		assertThat(conflict.kind()).isEqualTo(Verdict.Kind.CONFLICT);
		assertThat(conflict.current().orElseThrow().object()).isEqualTo(Changes.version("m1", 6));
		assertThat(conflict.explanation()).contains("c2");
	}

	@Test
	void repeatedChangeIdNeverTakesEffectAgain() {
		fold(Changes.put("c1", Changes.version("m1", 5), -1));
		fold(Changes.delete("c2", ObjectKind.VERSION, "m1", 0));
		assertThat(fold(Changes.put("c1", Changes.version("m1", 5), -1))).isEqualTo(Verdict.Kind.DUPLICATE);
		assertThat(this.state.view().entries()).isEmpty();
	}

	@Test
	void changeIdIsForgottenOnlyAfterTheWindow() {
		Change change = Changes.put("c1", Changes.version("m1", 5), -1);
		foldAt(change, 0);
		foldAt(Changes.delete("c2", ObjectKind.VERSION, "m1", 0), 0);
		assertThat(foldAt(change, ChangeIds.WINDOW_MILLIS)).isEqualTo(Verdict.Kind.DUPLICATE);
		assertThat(foldAt(change, ChangeIds.WINDOW_MILLIS + 1)).isEqualTo(Verdict.Kind.ACCEPTED);
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "not json", "{}", "{\"type\":\"change\",\"version\":2,\"body\":{}}",
			"{\"type\":\"other\",\"version\":1}", "{\"type\":\"change\",\"version\":1}",
			"{\"type\":\"change\",\"version\":1,\"body\":{\"id\":\"a b\"}}",
			"{\"type\":\"checkpoint\",\"version\":1,\"body\":{\"id\":\"a\",\"index\":2,\"count\":1}}" })
	void malformedRecordIsSkippedAndNotEmptied(String payload) {
		fold(Changes.put("c1", Changes.version("m1", 5), -1));
		CatalogueFold.Step step = CatalogueFold.step(this.state,
				new LogRecord(1, 0, payload.getBytes(StandardCharsets.UTF_8)));
		assertThat(step.skipped()).isPresent();
		assertThat(step.state().next()).isEqualTo(2);
		assertThat(step.state().view().entries()).hasSize(1);
	}

	static Stream<Change> danglingReferences() {
		Rollout missing = rollout("r1", "m1", "m9", RolloutState.RUNNING);
		Cascade cascade = new Cascade("k1", Labels.none(), Selector.everything(),
				List.of(Selector.parse("tier=unknown")));
		return Stream.of(Changes.put("x", missing, -1), Changes.put("x", cascade, -1),
				Changes.put("x", rollout("r2", "m1", "m2", RolloutState.PAUSED), -1),
				Changes.delete("x", ObjectKind.VERSION, "m2", 1), Changes.delete("x", ObjectKind.VERSION, "m7", -1));
	}

	@ParameterizedTest
	@MethodSource("danglingReferences")
	void changeThatLeavesADanglingReferenceIsInvalid(Change change) {
		fold(Changes.put("c1", Changes.version("m1", 5), -1));
		fold(Changes.put("c2", Changes.version("m2", 5), -1));
		fold(Changes.put("c3", rollout("r0", "m1", "m2", RolloutState.RUNNING), -1));
		assertThat(fold(change)).isEqualTo(Verdict.Kind.INVALID);
	}

	@Test
	void versionOfARunningRolloutCanBeWithdrawn() {
		fold(Changes.put("c1", Changes.version("m1", 5), -1));
		fold(Changes.put("c2", Changes.version("m2", 5), -1));
		fold(Changes.put("c3", rollout("r0", "m1", "m2", RolloutState.RUNNING), -1));
		assertThat(fold(Changes.put("c4", Changes.version("m2", 5).withState(VersionState.WITHDRAWN), 1)))
			.isEqualTo(Verdict.Kind.ACCEPTED);
	}

	private static Rollout rollout(String id, String stable, String candidate, RolloutState state) {
		return new Rollout(id, Labels.none(), new VersionId(stable), new VersionId(candidate), Selector.everything(),
				List.of(new RolloutStage(0.1, 10)), state, 0);
	}

	private Verdict.Kind fold(Change change) {
		return verdict(change).kind();
	}

	private Verdict.Kind foldAt(Change change, long atMillis) {
		return verdict(change, atMillis).kind();
	}

	private Verdict verdict(Change change) {
		return verdict(change, 0);
	}

	private Verdict verdict(Change change, long atMillis) {
		CatalogueFold.Step step = CatalogueFold.step(this.state,
				new LogRecord(this.state.next(), atMillis, ConfigRecords.write(change)));
		this.state = step.state();
		assertThat(step.skipped()).isEqualTo(Optional.empty());
		return step.verdict().orElseThrow();
	}

}
