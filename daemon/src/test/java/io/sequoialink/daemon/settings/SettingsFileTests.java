package io.sequoialink.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import io.sequoialink.decision.retry.RetrySettings;
import io.sequoialink.model.CatalogueView;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

/**
 * Tests of {@link SettingsFile}.
 */
class SettingsFileTests {

	private static final Path EXAMPLES = Path.of("..", "examples");

	@ParameterizedTest
	@MethodSource("exampleHosts")
	void exampleHostIsAccepted(Path file) throws SettingsException {
		Settings settings = SettingsFile.read(file);
		assertThat(settings.host().drainLimit()).isEqualTo(Duration.ofSeconds(30));
		assertThat(settings.input().maxBody()).isEqualTo(new ByteSize(1 << 20));
		assertThat(settings.keys().peer().secrets()).containsOnlyKeys("peer-1", "peer-2");
		assertThat(settings.policy().retry()).isEqualTo(RetrySettings.defaults());
		assertThat(settings.toString()).doesNotContain("secret-");
	}

	@Test
	void eachDeploymentHasFourZones() throws Exception {
		for (String deployment : List.of("magnolia", "bergvik")) {
			List<String> zones = exampleHosts().filter((file) -> file.toString().contains(deployment))
				.map(SettingsFileTests::zone)
				.distinct()
				.toList();
			assertThat(zones).hasSize(4);
		}
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '"',
			textBlock = """
					zone: us-south-a        | zoen: us-south-a        | host.zoen | unknown key | did you mean 'zone'?
					zone: us-south-a        | unused: 1               | host.zone | is missing | required
					ip: 127.0.0.1           | ip: localhost           | host.ip | is not accepted | numeric address
					httpPort: 8101          | httpPort: 99999         | host.httpPort | is not accepted | 1 to 65535
					httpPort: 8101          | httpPort: eighty        | host.httpPort | is not accepted | a whole number
					drainLimit: 30s         | drainLimit: 30          | host.drainLimit | is not accepted | unit ms, s, m or h
					drainLimit: 30s         | drainLimit: 30sec       | host.drainLimit | is not accepted | unit ms, s, m or h
					drainLimit: 30s         | drainLimit: 2h          | host.drainLimit | is not accepted | 0s to 1h
					log: 127.0.0.1:8001     | log: log.example:8001   | platform.log | is not accepted | numeric address
					log: 127.0.0.1:8001     | log: [1]                | platform.log | is not accepted | numeric address
					active: peer-2          | active: peer-3          | keys.peer.active | does not exist | did you mean 'peer-1'
					"{id: peer-2,"          | "{id: peer-1,"          | keys.peer.keys[1].id | is a duplicate | once
					127.0.0.1:8202]         | 127.0.0.1:8201]         | peers.seeds[1] | is a duplicate | once
					format: text            | format: xml             | logging.format | is not accepted | [text, json]
					level: info             | levle: info             | logging.levle | unknown key | did you mean 'level'?
					"retry: {maxAttempts: 3" | "retry: {maxAttempts: 99" | policy.retry.maxAttempts | is not accepted | use 1 to 10
					baseDelay: 20ms         | baseDelay: 20           | policy.retry.baseDelay | is not accepted | unit ms, s, m or h
					baseDelay: 20ms         | baseDealy: 20ms         | policy.retry.baseDealy | unknown key | did you mean 'baseDelay'?
					explorationShare: 0.01  | explorationShare: 0.5   | policy.cascade.explorationShare | is not accepted | 0 to 0.2
					cascade: {              | casacde: {              | policy.casacde | unknown key | did you mean 'cascade'?
					secret: example-peer-secret-magnolia-000000000002 | secret: short | keys.peer.keys[1].secret | is not accepted | 32 to 256
					logging:                | "input: {maxBody: 64KB}\nlogging:" | input.maxBody | is not accepted | B, KiB or MiB
					logging:                | "input: {maxBody: 1GiB}\nlogging:" | input.maxBody | is not accepted | B, KiB or MiB
					logging:                | "input: {maxBody: 512MiB}\nlogging:" | input.maxBody | is not accepted | 1KiB to 64MiB
					""")
	void badSettingIsNamedWithWhatIsAccepted(String old, String bad, String path, String problem, String accepted)
			throws IOException {
		SettingsException refused = refuse(
				valid().replaceFirst(Pattern.quote(old), Matcher.quoteReplacement(bad.replace("\\n", "\n"))));
		assertThat(refused.errors()).anySatisfy((error) -> {
			assertThat(error.file()).isEqualTo("host.yaml");
			assertThat(error.path()).isEqualTo(path);
			assertThat(error.problem()).isEqualTo(problem);
			assertThat(error.accepted()).contains(accepted);
		});
	}

	@Test
	void allErrorsAreToldAtOnce() throws IOException {
		SettingsException refused = refuse(valid().replace("zone:", "zoen:")
			.replace("8101", "0")
			.replace("30s", "30")
			.replace("maxAttempts: 3", "maxAttempts: 0")
			.replace("active: peer-2", "active: gone"));
		assertThat(refused.errors()).extracting(SettingsError::path)
			.containsExactlyInAnyOrder("host.zoen", "host.zone", "host.httpPort", "host.drainLimit",
					"policy.retry.maxAttempts", "keys.peer.active");
	}

	@ParameterizedTest
	@CsvSource({ "'a: [', line 1", "'host: {id: a, id: b}', line 1", "text, ''", "'', ''" })
	void textThatIsNoMappingIsRefused(String yaml, String path) {
		assertThat(refuse(yaml).errors()).singleElement()
			.satisfies((error) -> assertThat(error.path()).isEqualTo(path));
	}

	@Property(tries = 300, seed = "1")
	void anyTextIsRefusedWithoutAnotherException(@ForAll String text) {
		assertThat(refuse(text).errors()).isNotEmpty();
	}

	@Property(tries = 400, seed = "1")
	void anyChangeOfAFileIsAcceptedOrRefusedWithErrors(@ForAll boolean host, @ForAll @IntRange(max = 100_000) int place,
			@ForAll @IntRange(max = 30) int length, @ForAll @StringLength(max = 8) String replacement)
			throws IOException {
		String yaml = Files.readString(EXAMPLES.resolve(host ? "magnolia/host-1.yaml" : "magnolia/catalogue.yaml"));
		int start = place % yaml.length();
		String mutant = yaml.substring(0, start) + replacement
				+ yaml.substring(Math.min(yaml.length(), start + length));
		try {
			parse(host, mutant);
		}
		catch (SettingsException ex) {
			assertThat(ex.errors()).isNotEmpty();
		}
	}

	@Property(tries = 400, seed = "1")
	void anyOtherValueIsAcceptedOrRefusedWithErrors(@ForAll boolean host, @ForAll @IntRange(max = 1000) int place,
			@ForAll @IntRange(max = 9) int value) throws IOException {
		String yaml = Files.readString(EXAMPLES.resolve(host ? "magnolia/host-1.yaml" : "magnolia/catalogue.yaml"));
		List<String> values = List.of("", "null", "[]", "{}", "-1", "1e999", "99999999999999999999", "[{}, 1]",
				"{a: {b: [1]}}", "'\u0000'");
		String[] parts = yaml.split("(?<=: )");
		int part = 1 + place % (parts.length - 1);
		parts[part] = values.get(value) + parts[part].replaceFirst("^[^,}\\n]*", "");
		String mutant = String.join("", parts);
		try {
			parse(host, mutant);
		}
		catch (SettingsException ex) {
			assertThat(ex.errors()).isNotEmpty();
		}
	}

	@Test
	void eachPolicyHasDefaults() {
		assertThat(SettingsFile.policyDefaults()).containsOnlyKeys("cascade", "rollout", "routing", "outliers",
				"limits", "retry");
		assertThat(SettingsFile.policyDefaults().get("retry")).containsEntry("baseDelay", "20ms");
	}

	@ParameterizedTest
	@MethodSource("exampleCatalogues")
	void exampleCatalogueIsAccepted(Path file) throws SettingsException {
		assertThat(CatalogueFile.isOne(file)).isTrue();
		assertThat(CatalogueFile.read(file, CatalogueView.empty())).hasSize(4 + 3 + 10 + 2 + 1 + 1);
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '"',
			textBlock = """
					cost: 400             | cots: 400          | versions[2].cots | unknown key | did you mean 'cost'?
					cost: 400             | cost: -1           | versions[2] | is not accepted | negative
					cost: 400             | cost: many         | versions[2].cost | is not accepted | many
					id: caption-large-1   | id: caption-medium-2 | versions[3].id | is a duplicate | once
					qualityTarget: 0.95   | qualityTarget: 95  | classes[0] | is not accepted | up to 1
					deadline: 4s          | deadline: 4        | classes[0].deadline | is not accepted | unit ms, s, m or h
					stable: caption-small-3 | stable: caption-smal-3 | rollouts[0].stable | does not exist | did you mean 'caption-small-3'?
					accounts: size=small  | accounts: size=tiny | rollouts[0].accounts | selects nothing | ClientAccount
					tier=medium, tier=large | tier=medium, tier=xl | cascades[0].tiers[2] | selects nothing | ModelVersion
					tier=medium, tier=large | tier=medium, '=x' | cascades[0].tiers[2] | is not accepted | key=value
					priority: 2           | priority: 12       | accounts[0] | is not accepted | 0 to 9
					versions:             | version:           | version | unknown key | did you mean 'versions'?
					idempotent: true      | unused: 1          | services[0].idempotent | is missing | required
					share: 0.05           | share: 5           | rollouts[0].stages[0] | is not accepted | up to 1
					""")
	void badObjectIsNamedWithWhatIsAccepted(String old, String bad, String path, String problem, String accepted)
			throws IOException {
		String yaml = Files.readString(EXAMPLES.resolve("magnolia/catalogue.yaml"))
			.replaceFirst(Pattern.quote(old), bad);
		SettingsException refused = catchThrowableOfType(SettingsException.class,
				() -> CatalogueFile.parse("catalogue.yaml", yaml, CatalogueView.empty()));
		assertThat(refused.errors()).anySatisfy((error) -> {
			assertThat(error.path()).isEqualTo(path);
			assertThat(error.problem()).isEqualTo(problem);
			assertThat(error.accepted()).contains(accepted);
		});
	}

	@Test
	void partOfTheObjectsIsCheckedAgainstTheConfigurationInForce() throws SettingsException {
		List<CatalogueView.Entry> inForce = CatalogueFile
			.read(EXAMPLES.resolve("bergvik/catalogue.yaml"), CatalogueView.empty())
			.stream()
			.map((object) -> new CatalogueView.Entry(object, 1))
			.toList();
		String part = "rollouts:\n- {id: r2, stable: contract-medium-4, candidate: contract-large-2, "
				+ "stages: [{share: 1, ratedAnswers: 10}]}";
		assertThat(CatalogueFile.parse("part.yaml", part, CatalogueView.of(1, inForce))).hasSize(1);
		assertThat(catchThrowableOfType(SettingsException.class,
				() -> CatalogueFile.parse("part.yaml", part, CatalogueView.empty()))
			.errors()).hasSize(3);
	}

	static Stream<Path> exampleHosts() {
		return Stream.of("magnolia", "bergvik")
			.flatMap((name) -> Stream.of(1, 2, 3, 4)
				.map((number) -> EXAMPLES.resolve(name).resolve("host-" + number + ".yaml")));
	}

	static Stream<Path> exampleCatalogues() {
		return Stream.of("magnolia", "bergvik").map((name) -> EXAMPLES.resolve(name).resolve("catalogue.yaml"));
	}

	private static String zone(Path file) {
		try {
			return SettingsFile.read(file).host().zone();
		}
		catch (SettingsException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static void parse(boolean host, String yaml) throws SettingsException {
		if (host) {
			SettingsFile.parse("mutant.yaml", yaml);
		}
		else {
			CatalogueFile.parse("mutant.yaml", yaml, CatalogueView.empty());
		}
	}

	private static String valid() throws IOException {
		return Files.readString(EXAMPLES.resolve("magnolia/host-1.yaml"));
	}

	private static SettingsException refuse(String yaml) {
		return catchThrowableOfType(SettingsException.class, () -> SettingsFile.parse("host.yaml", yaml));
	}

}
