package io.sequoialink.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import io.sequoialink.decision.cascade.CascadeParameters;
import io.sequoialink.decision.limits.LimitSettings;
import io.sequoialink.decision.retry.RetrySettings;
import io.sequoialink.decision.rollout.RolloutSettings;
import io.sequoialink.decision.routing.OutlierParameters;
import io.sequoialink.decision.routing.RoutingParameters;

/**
 * Reads the settings of one host and checks them as a whole. Stateless and thread-safe.
 *
 * <pre>
 * Settings settings = SettingsFile.read(Path.of("host-1.yaml"));
 * </pre>
 */
public final class SettingsFile {

	/** The largest file that is read, in bytes. */
	public static final int MAX_BYTES = 4 * 1024 * 1024;

	private static final ObjectMapper YAML = new ObjectMapper(
			new YAMLFactory().enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION));

	private static final String POLICY = "policy";

	private static final Map<String, Class<? extends Record>> GROUPS = groups();

	private SettingsFile() {
	}

	/**
	 * Reads a file.
	 * @param file a YAML file
	 * @return the settings
	 * @throws SettingsException if anything is wrong; it holds every error
	 */
	public static Settings read(Path file) throws SettingsException {
		return parse(file.toString(), text(file));
	}

	/**
	 * Reads a text.
	 * @param name the name for messages
	 * @param yaml the text
	 * @return the settings
	 * @throws SettingsException if anything is wrong; it holds every error
	 */
	public static Settings parse(String name, String yaml) throws SettingsException {
		Problems problems = new Problems(name);
		JsonNode root = tree(name, yaml, problems);
		JsonNode policyNode = root.path(POLICY);
		Parts parts = new Binder(problems).bind(without(root, POLICY), Parts.class, "");
		PolicySettings policy = policy(policyNode, problems);
		checkKeys(root, problems);
		problems.throwIfAny();
		return new Settings(parts.host(), parts.platform(), parts.peers(), parts.keys(), parts.input(), parts.logging(),
				policy);
	}

	/**
	 * Returns all policy parameters with their defaults.
	 * @return keys to values, by group
	 */
	public static Map<String, Map<String, String>> policyDefaults() {
		Map<String, Map<String, String>> defaults = new LinkedHashMap<>();
		GROUPS.forEach((name, type) -> defaults.put(name, new ParameterGroup(type).keys()));
		return defaults;
	}

	static String text(Path file) throws SettingsException {
		try {
			if (Files.size(file) > MAX_BYTES) {
				throw failure(file.toString(), "is larger than accepted", "use up to " + MAX_BYTES + " bytes");
			}
			return Files.readString(file);
		}
		catch (IOException ex) {
			throw failure(file.toString(), "can't be read", String.valueOf(ex.getMessage()));
		}
	}

	static JsonNode tree(String name, String yaml, Problems problems) throws SettingsException {
		try {
			JsonNode root = YAML.readTree(yaml);
			if (root.isObject()) {
				return root;
			}
			problems.add("", "", "is no mapping", "use keys with values");
		}
		catch (JsonProcessingException ex) {
			problems.add("line " + ((ex.getLocation() != null) ? ex.getLocation().getLineNr() : 1), "", "is no YAML",
					ex.getOriginalMessage());
		}
		problems.throwIfAny();
		return MissingNode.getInstance();
	}

	private static SettingsException failure(String file, String problem, String accepted) {
		return new SettingsException(List.of(new SettingsError(file, "file", "", problem, accepted)));
	}

	private static JsonNode without(JsonNode root, String key) {
		ObjectNode copy = ((ObjectNode) root).deepCopy();
		copy.remove(key);
		return copy;
	}

	private static PolicySettings policy(JsonNode node, Problems problems) {
		if (!node.isMissingNode() && !node.isObject()) {
			problems.notAccepted(POLICY, node, "a mapping with the keys " + GROUPS.keySet());
			return null;
		}
		node.fieldNames().forEachRemaining((key) -> {
			if (!GROUPS.containsKey(key)) {
				problems.unknownKey(Binder.join(POLICY, key), key, GROUPS.keySet());
			}
		});
		List<Object> read = new ArrayList<>();
		GROUPS.forEach((name, type) -> read
			.add(new ParameterGroup(type).read(node.path(name), Binder.join(POLICY, name), problems)));
		return new PolicySettings((CascadeParameters) read.get(0), (RolloutSettings) read.get(1),
				(RoutingParameters) read.get(2), (OutlierParameters) read.get(3), (LimitSettings) read.get(4),
				(RetrySettings) read.get(5));
	}

	private static void checkKeys(JsonNode root, Problems problems) {
		for (String ring : List.of("peer", "session")) {
			JsonNode node = root.path("keys").path(ring);
			Set<String> ids = unique(node.path("keys"), "keys." + ring + ".keys", problems);
			JsonNode active = node.path("active");
			if (active.isValueNode() && !ids.contains(active.asText())) {
				problems.dangling("keys." + ring + ".active", active.asText(), ids);
			}
		}
		Set<String> seeds = new HashSet<>();
		JsonNode list = root.path("peers").path("seeds");
		for (int i = 0; i < list.size(); i++) {
			if (!seeds.add(list.get(i).asText())) {
				problems.add("peers.seeds[" + i + "]", list.get(i), "is a duplicate", "name each seed once");
			}
		}
	}

	private static Set<String> unique(JsonNode list, String path, Problems problems) {
		Set<String> ids = new HashSet<>();
		for (int i = 0; i < list.size(); i++) {
			JsonNode id = list.get(i).path("id");
			if (id.isValueNode() && !ids.add(id.asText())) {
				problems.add(path + "[" + i + "].id", id, "is a duplicate", "use each identifier once");
			}
		}
		return ids;
	}

	private static Map<String, Class<? extends Record>> groups() {
		Map<String, Class<? extends Record>> groups = new LinkedHashMap<>();
		groups.put("cascade", CascadeParameters.class);
		groups.put("rollout", RolloutSettings.class);
		groups.put("routing", RoutingParameters.class);
		groups.put("outliers", OutlierParameters.class);
		groups.put("limits", LimitSettings.class);
		groups.put("retry", RetrySettings.class);
		return groups;
	}

	/**
	 * All settings but those of the policies. Immutable and thread-safe.
	 *
	 * @param host what this host is
	 * @param platform where the platform's services are
	 * @param peers where other hosts are met
	 * @param keys secrets that hosts share
	 * @param input bounds on callers
	 * @param logging how logs are written
	 */
	record Parts(HostSettings host, PlatformSettings platform, PeerSettings peers, KeySettings keys,
			InputSettings input, LoggingSettings logging) {
	}

}
