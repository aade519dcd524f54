package io.sequoialink.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;

import com.fasterxml.jackson.databind.JsonNode;
import io.sequoialink.catalogue.Change;
import io.sequoialink.model.CatalogueView;
import io.sequoialink.model.ConfigObject;
import io.sequoialink.model.Json;

/**
 * What an apply would change. Immutable and thread-safe. Each step is made against the
 * revision of its object that the operator saw.
 *
 * @param steps the objects that differ from the configuration in force
 * @param unchanged the number of objects that are in force already
 */
record ConfigPlan(List<Step> steps, int unchanged) {

	private static final long ABSENT = -1;

	/**
	 * Compares objects with the configuration in force.
	 * @param wanted the wanted objects
	 * @param inForce the configuration in force
	 * @param basedOn the revision that the operator saw, if it was not the newest; an
	 * object that has changed since then becomes a conflict
	 * @return the plan
	 */
	static ConfigPlan of(List<? extends ConfigObject> wanted, CatalogueView inForce, OptionalLong basedOn) {
		List<Step> steps = new ArrayList<>();
		for (ConfigObject object : wanted) {
			Optional<CatalogueView.Entry> current = inForce.entry(object.key());
			if (current.map((entry) -> !entry.object().equals(object)).orElse(true)) {
				long seen = current.map(CatalogueView.Entry::revision).orElse(ABSENT);
				boolean overtaken = basedOn.isPresent() && seen > basedOn.getAsLong();
				steps.add(new Step(object, current, overtaken ? basedOn.getAsLong() : seen));
			}
		}
		return new ConfigPlan(steps, wanted.size() - steps.size());
	}

	List<Change> changes(String author, String reason) {
		return this.steps.stream()
			.map((step) -> new Change(UUID.randomUUID().toString(), step.object().key(), step.expectedRevision(),
					Optional.of(step.object()), author, reason))
			.toList();
	}

	/**
	 * Returns the fields in which two objects differ.
	 * @param before one object
	 * @param after the other
	 * @return one line a field
	 */
	static List<String> differences(ConfigObject before, ConfigObject after) {
		JsonNode left = Json.mapper().valueToTree(before);
		JsonNode right = Json.mapper().valueToTree(after);
		List<String> lines = new ArrayList<>();
		right.fieldNames().forEachRemaining((field) -> {
			if (!right.path(field).equals(left.path(field))) {
				lines.add(field + ": " + left.path(field) + " -> " + right.path(field));
			}
		});
		return lines;
	}

	/**
	 * One object to change. Immutable and thread-safe.
	 *
	 * @param object the wanted object
	 * @param current the object in force, empty if it does not exist
	 * @param expectedRevision the revision that the change is made against
	 */
	record Step(ConfigObject object, Optional<CatalogueView.Entry> current, long expectedRevision) {

		List<String> lines() {
			return this.current.map((entry) -> differences(entry.object(), this.object))
				.orElseGet(() -> List.of(Json.write(this.object)));
		}

	}

}
