package io.sequoialink.daemon.settings;

import java.nio.file.Path;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sequoialink.model.Cascade;
import io.sequoialink.model.CatalogueView;
import io.sequoialink.model.ClientAccount;
import io.sequoialink.model.ConfigObject;
import io.sequoialink.model.Identifiers;
import io.sequoialink.model.Json;
import io.sequoialink.model.ModelVersion;
import io.sequoialink.model.ObjectKey;
import io.sequoialink.model.PlainService;
import io.sequoialink.model.RequestClass;
import io.sequoialink.model.Rollout;
import io.sequoialink.model.VersionId;

/**
 * Reads a file of configuration objects and checks it as a whole. Stateless and
 * thread-safe. A version or roll-out whose state the file does not give keeps the state
 * in force, so that applying a file again neither offers a withdrawn version nor resumes
 * a paused roll-out.
 */
public final class CatalogueFile {

	private static final String STATE = "state";

	private static final Map<String, Section> SECTIONS = sections();

	private CatalogueFile() {
	}

	/**
	 * Returns whether a file holds configuration objects rather than a host's settings.
	 * @param file a YAML file
	 * @return {@code true} if it has one of the sections
	 * @throws SettingsException if it can't be read as YAML
	 */
	public static boolean isOne(Path file) throws SettingsException {
		JsonNode root = SettingsFile.tree(file.toString(), SettingsFile.text(file), new Problems(file.toString()));
		return SECTIONS.keySet().stream().anyMatch(root::has);
	}

	/**
	 * Reads a file.
	 * @param file a YAML file
	 * @param base the configuration that the file's objects join or replace
	 * @return the file's objects, in the order of its sections
	 * @throws SettingsException if anything is wrong; it holds every error
	 */
	public static List<ConfigObject> read(Path file, CatalogueView base) throws SettingsException {
		return parse(file.toString(), SettingsFile.text(file), base);
	}

	/**
	 * Reads a text.
	 * @param name the name for messages
	 * @param yaml the text
	 * @param base the configuration that the text's objects join or replace
	 * @return the objects, in the order of the sections
	 * @throws SettingsException if anything is wrong; it holds every error
	 */
	public static List<ConfigObject> parse(String name, String yaml, CatalogueView base) throws SettingsException {
		Problems problems = new Problems(name);
		JsonNode root = SettingsFile.tree(name, yaml, problems);
		root.fieldNames().forEachRemaining((key) -> {
			if (!SECTIONS.containsKey(key)) {
				problems.unknownKey(key, key, SECTIONS.keySet());
			}
		});
		Map<ObjectKey, Placed> objects = new LinkedHashMap<>();
		SECTIONS.forEach((key, section) -> readSection(root.path(key), key, section, base, objects, problems));
		checkReferences(objects.values(), base, problems);
		problems.throwIfAny();
		return objects.values().stream().map(Placed::object).toList();
	}

	private static void readSection(JsonNode list, String name, Section section, CatalogueView base,
			Map<ObjectKey, Placed> objects, Problems problems) {
		if (!list.isMissingNode() && !list.isArray()) {
			problems.notAccepted(name, list, "a list");
		}
		for (int i = 0; i < list.size(); i++) {
			String path = name + "[" + i + "]";
			keepState(list.get(i), section, base);
			readObject(list.get(i), path, section, problems).ifPresent((object) -> {
				if (objects.putIfAbsent(object.key(), new Placed(object, path)) != null) {
					problems.add(path + ".id", object.key().name(), "is a duplicate", "use each identifier once");
				}
			});
		}
	}

	private static void keepState(JsonNode node, Section section, CatalogueView base) {
		if (!(node instanceof ObjectNode mapping) || mapping.has(STATE)
				|| !Identifiers.valid(node.path("id").asText())) {
			return;
		}
		String id = node.path("id").asText();
		if (section.type() == ModelVersion.class) {
			base.version(new VersionId(id)).ifPresent((version) -> mapping.put(STATE, version.state().name()));
		}
		else if (section.type() == Rollout.class && !mapping.has("stage")) {
			base.rollouts().filter((rollout) -> rollout.id().equals(id)).forEach((rollout) -> {
				mapping.put(STATE, rollout.state().name());
				mapping.put("stage", Math.min(rollout.stage(), Math.max(0, node.path("stages").size() - 1)));
			});
		}
	}

	private static Optional<ConfigObject> readObject(JsonNode node, String path, Section section, Problems problems) {
		if (!(node instanceof ObjectNode mapping)) {
			problems.notAccepted(path, node, "a mapping with the keys " + section.keys());
			return Optional.empty();
		}
		int before = problems.count();
		node.fieldNames().forEachRemaining((key) -> {
			if (!section.keys().contains(key)) {
				problems.unknownKey(Binder.join(path, key), key, section.keys());
			}
		});
		section.required()
			.stream()
			.filter((key) -> !node.hasNonNull(key))
			.forEach((key) -> problems.add(Binder.join(path, key), "", "is missing", "this key is required"));
		durations(mapping, path, problems);
		return (problems.count() == before) ? convert(mapping, path, section, problems) : Optional.empty();
	}

	private static void durations(ObjectNode node, String path, Problems problems) {
		JsonNode deadline = node.path("deadline");
		if (deadline.isMissingNode()) {
			return;
		}
		try {
			node.put("deadline", Durations.parse(deadline.asText()).toString());
		}
		catch (IllegalArgumentException ex) {
			problems.notAccepted(Binder.join(path, "deadline"), deadline, Durations.ACCEPTED);
		}
	}

	private static Optional<ConfigObject> convert(ObjectNode node, String path, Section section, Problems problems) {
		try {
			node.put("kind", section.kind());
			return Optional.of(Json.mapper().treeToValue(node, ConfigObject.class));
		}
		catch (JsonMappingException ex) {
			String pointer = pointer(ex);
			boolean own = ex.getCause() instanceof IllegalArgumentException;
			problems.add(path + pointer.replaceAll("/(\\d+)", "[$1]").replace('/', '.'), node.at(pointer).asText(),
					"is not accepted", own ? ex.getCause().getMessage() : ex.getOriginalMessage());
		}
		catch (JsonProcessingException ex) {
			problems.add(path, "", "is not accepted", ex.getOriginalMessage());
		}
		return Optional.empty();
	}

	private static String pointer(JsonMappingException ex) {
		return ex.getPath()
			.stream()
			.map((step) -> "/" + ((step.getFieldName() != null) ? step.getFieldName() : step.getIndex()))
			.collect(Collectors.joining());
	}

	private static void checkReferences(Collection<Placed> objects, CatalogueView base, Problems problems) {
		Map<ObjectKey, ConfigObject> all = new LinkedHashMap<>();
		base.entries().forEach((entry) -> all.put(entry.object().key(), entry.object()));
		objects.forEach((placed) -> all.put(placed.object().key(), placed.object()));
		CatalogueReferences references = new CatalogueReferences(all.values(), problems);
		objects.forEach((placed) -> references.check(placed.object(), placed.path()));
	}

	private static Map<String, Section> sections() {
		Map<String, Section> sections = new LinkedHashMap<>();
		sections.put("versions", new Section("version", ModelVersion.class, Set.of("id", "cost")));
		sections.put("classes", new Section("class", RequestClass.class, Set.of("id", "qualityTarget", "deadline")));
		sections.put("accounts",
				new Section("account", ClientAccount.class, Set.of("id", "keyDigest", "allowedVersions", "priority")));
		sections.put("services", new Section("service", PlainService.class, Set.of("id", "idempotent")));
		sections.put("cascades", new Section("cascade", Cascade.class, Set.of("id", "tiers")));
		sections.put("rollouts", new Section("rollout", Rollout.class, Set.of("id", "stable", "candidate", "stages")));
		return sections;
	}

	/**
	 * An object with its place in the file. Immutable and thread-safe.
	 *
	 * @param object the object
	 * @param path the place
	 */
	private record Placed(ConfigObject object, String path) {
	}

	/**
	 * One section of the file. Immutable and thread-safe.
	 *
	 * @param kind the kind of its objects in JSON
	 * @param type their type
	 * @param required keys that must be there
	 */
	private record Section(String kind, Class<? extends Record> type, Set<String> required) {

		private List<String> keys() {
			return Binder.names(this.type);
		}

	}

}
