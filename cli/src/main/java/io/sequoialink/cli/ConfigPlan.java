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
 * The changes needed to bring the active configuration to a wanted one. Immutable and
 * thread-safe. Each change carries the revision that its object is expected to have, so
 * that a concurrent change is reported as a conflict.
 *
 * @param steps the objects that are missing from the active configuration or differ from
 * it
 * @param unchanged the number of wanted objects that are already active
 */
record ConfigPlan(List<Step> steps, int unchanged) {

	private static final long REVISION_IF_ABSENT = -1;

	/**
	 * Compares wanted objects with the active configuration. Objects that are active but
	 * not wanted are left alone.
	 * @param wanted the wanted objects
	 * @param activeConfig the active configuration
	 * @param basedOn the revision from which the wanted objects were edited, empty for
	 * the newest; a change to an object that has changed since then becomes a conflict
	 * @return the changes to make
	 */
	static ConfigPlan of(List<? extends ConfigObject> wanted, CatalogueView activeConfig, OptionalLong basedOn) {
		List<Step> steps = new ArrayList<>();
		for (ConfigObject object : wanted) {
			Optional<CatalogueView.Entry> current = activeConfig.entry(object.key());
			if (current.map((entry) -> !entry.object().equals(object)).orElse(true)) {
				long currentRevision = current.map(CatalogueView.Entry::revision).orElse(REVISION_IF_ABSENT);
				boolean changedSinceBase = basedOn.isPresent() && currentRevision > basedOn.getAsLong();
				steps.add(new Step(object, current, changedSinceBase ? basedOn.getAsLong() : currentRevision));
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
	 * Lists the fields in which two objects differ.
	 * @param before the active object
	 * @param after the wanted object
	 * @return one line "field: old -> new" for each field that differs
	 */
	static List<String> differences(ConfigObject before, ConfigObject after) {
		JsonNode beforeJson = Json.mapper().valueToTree(before);
		JsonNode afterJson = Json.mapper().valueToTree(after);
		List<String> lines = new ArrayList<>();
		afterJson.fieldNames().forEachRemaining((field) -> {
			if (!afterJson.path(field).equals(beforeJson.path(field))) {
				lines.add(field + ": " + beforeJson.path(field) + " -> " + afterJson.path(field));
			}
		});
		return lines;
	}

	/**
	 * The change of one object. Immutable and thread-safe.
	 *
	 * @param object the wanted object
	 * @param current the active object, empty if it does not exist
	 * @param expectedRevision the revision that the active object must have for the
	 * change to be accepted, -1 if it must not exist
	 */
	record Step(ConfigObject object, Optional<CatalogueView.Entry> current, long expectedRevision) {

		List<String> differenceLines() {
			return this.current.map((entry) -> differences(entry.object(), this.object))
				.orElseGet(() -> List.of(Json.write(this.object)));
		}

	}

}
