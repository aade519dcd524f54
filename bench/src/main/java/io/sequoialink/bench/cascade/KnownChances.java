package io.sequoialink.bench.cascade;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;

import io.sequoialink.bench.outcomes.OutcomeTable;
import io.sequoialink.decision.cascade.ProbabilitySource;
import io.sequoialink.model.ClassId;
import io.sequoialink.model.VersionId;

/**
 * The true chances of a table, averaged over the hidden difficulties: what could be known
 * at best without seeing a request's difficulty or draw. Immutable and thread-safe.
 */
final class KnownChances implements ProbabilitySource {

	private final Map<ClassId, OutcomeTable.ClassRow> rows = new HashMap<>();

	KnownChances(OutcomeTable table) {
		table.classes().forEach((row) -> this.rows.put(new ClassId(row.id()), row));
	}

	@Override
	public OptionalDouble successProbability(ClassId requestClass, Optional<VersionId> failed, VersionId version) {
		double weight = 0;
		double good = 0;
		for (OutcomeTable.Difficulty difficulty : this.rows.get(requestClass).difficulties()) {
			double reached = difficulty.share()
					* failed.map((other) -> 1 - difficulty.chance().get(other.value())).orElse(1.0);
			weight += reached;
			good += reached * difficulty.chance().get(version.value());
		}
		return OptionalDouble.of((weight > 0) ? good / weight : 0);
	}

}
