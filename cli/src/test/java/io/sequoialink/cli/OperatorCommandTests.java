package io.sequoialink.cli;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import io.sequoialink.bench.live.Caller;
import io.sequoialink.bench.live.LiveFleet;
import io.sequoialink.daemon.host.HostPolicies;
import io.sequoialink.model.Json;
import io.sequoialink.standin.Standins;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the operator commands against a running fleet of two hosts.
 */
class OperatorCommandTests {

	private static final String CATALOGUE = "../examples/magnolia/catalogue.yaml";

	private static LiveFleet fleet;

	@TempDir
	private Path directory;

	@BeforeAll
	static void startFleet() throws Exception {
		Standins standins = Standins.of("magnolia")
			.addVersion("caption-small-4", "caption-small-3", 1)
			.timeScale(0.02)
			.start();
		fleet = LiveFleet.start("magnolia", standins, 2, HostPolicies.DEFAULT, 1);
		assertThat(run("config", "apply", CATALOGUE, "--author", "kari", "--reason", "set-up").code()).isZero();
	}

	@AfterAll
	static void stopFleet() {
		fleet.close();
	}

	@Test
	void appliedFileIsActiveAndHasNoDifference() {
		assertThat(run("config", "apply", CATALOGUE).out()).contains("21 objects were in force already");
		assertThat(run("config", "diff", CATALOGUE).out()).contains("0 objects differ");
		Result versions = run("config", "get", "--kind", "version", "--selector", "tier in (medium, large)");
		assertThat(versions.out()).contains("version/caption-large-1").doesNotContain("caption-small");
		assertThat(run("config", "history", "--limit", "5").out()).contains("accepted", "kari", "set-up");
	}

	@Test
	void diffShowsPendingChange() throws Exception {
		Path file = changed("priority: 5", "priority: 6");
		assertThat(run("config", "diff", file.toString()).out()).contains("~ account/magnolia-web", "priority: 5 -> 6",
				"1 objects differ, 20 are in force");
	}

	@Test
	void changeFromOldRevisionConflictsAndShowsBothVersions() throws Exception {
		Path first = changed("qualityTarget: 0.95", "qualityTarget: 0.94");
		Path second = changed("qualityTarget: 0.95", "qualityTarget: 0.93");
		JsonNode before = Json.mapper().readTree(run("config", "get", "--format", "json").out());
		long seen = 0;
		for (JsonNode entry : before) {
			seen = Math.max(seen, entry.path("revision").asLong());
		}
		assertThat(run("config", "apply", first.toString(), "--author", "kari").code()).isZero();
		Result late = run("config", "apply", second.toString(), "--author", "ola", "--based-on", Long.toString(seen));
		assertThat(late.code()).isEqualTo(ExitCodes.CONFLICT);
		assertThat(late.out()).contains("class/tagline", "yours, by ola", "\"qualityTarget\":0.93", "in force",
				"\"qualityTarget\":0.94");
		assertThat(run("config", "apply", CATALOGUE).code()).isZero();
	}

	@Test
	void rolloutIsPausedAndResumedByLabels() {
		assertThat(run("rollout", "pause", "--selector", "family=caption").code()).isZero();
		assertThat(run("rollout", "status").out()).contains("paused", "1/3", "caption-small-4");
		assertThat(run("rollout", "start", "--selector", "family=caption").code()).isZero();
		assertThat(run("rollout", "status", "--format", "json").out()).contains("\"RUNNING\"");
		Result none = run("rollout", "pause", "--selector", "family=none");
		assertThat(none.code()).isEqualTo(ExitCodes.FAILED);
		assertThat(none.err()).contains("no roll-out matches 'family=none'");
	}

	@Test
	void reapplyingFileKeepsPauseAndWithdrawal() {
		run("rollout", "pause", "--selector", "family=caption");
		run("version", "withdraw", "--selector", "line=candidate");
		assertThat(run("config", "apply", CATALOGUE).out()).contains("21 objects were in force already");
		assertThat(run("rollout", "status").out()).contains("paused");
		assertThat(run("config", "get", "--format", "json").out()).contains("\"WITHDRAWN\"");
	}

	@Test
	void withdrawalReportsConfirmingHosts() {
		Result result = run("version", "withdraw", "--selector", "line=candidate", "--reason", "poor ratings");
		assertThat(result.out()).contains("Withdrawn:     caption-small-4", "on 2 of 2 hosts");
		assertThat(result.code()).isZero();
		assertThat(run("version", "withdraw", "--selector", "line=none").code()).isEqualTo(ExitCodes.FAILED);
	}

	@Test
	void answeredRequestIsExplainedAndBilled() throws Exception {
		try (Caller caller = new Caller(fleet.hosts().get(0).httpPort())) {
			Caller.Reply reply = caller.chat("example-key-peach-pixel", "tagline", "A tagline", 20, false, Map.of());
			assertThat(reply.status()).as(reply.text()).isEqualTo(200);
			String id = reply.request().orElseThrow();
			Result explained = run("explain", id);
			assertThat(explained.out()).contains("account peach-pixel", "Chosen", "CHANCE", "EFFECT", "done");
			LiveFleet.await(() -> run("bills").out().contains(id));
		}
		Result unknown = run("explain", "no-such-request");
		assertThat(unknown.code()).isEqualTo(ExitCodes.FAILED);
		assertThat(unknown.err()).contains("no-such-request");
	}

	@Test
	void hostsAreListed() {
		assertThat(run("host", "list").out().lines()).hasSize(3).anyMatch((line) -> line.contains("alive"));
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', textBlock = """
			confg get                                   | 2 | config
			config aply x.yaml                          | 2 | apply
			config                                      | 2 | apply, get, history, diff
			config get --kind verson                    | 2 | account, version
			config get --format xml                     | 2 | table, json
			config get --selector =                     | 2 | key=value
			config apply no-such-file.yaml              | 2 | can't be read
			config apply x.yaml --author a/b            | 2 | --author
			version withdraw                            | 2 | --selector
			version withdraw --selector ''              | 2 | every version
			explain a/b                                 | 2 | REQUEST_ID
			host list --host entry.example:8101         | 2 | numeric
			settings check ../examples/magnolia/none    | 2 | can't be read
			host list --host 127.0.0.1:1                | 1 | no answer from host 127.0.0.1:1
			""")
	void badCommandSaysWhatIsAccepted(String line, int code, String message) {
		Result result = run(
				Arrays.stream(line.split(" +")).map((word) -> word.replace("''", "")).toArray(String[]::new));
		assertThat(result.err()).contains(message).doesNotContain("\tat ");
		assertThat(result.code()).isEqualTo(code);
	}

	@Test
	void badFileShowsAllErrorsAndPublishesNothing() throws Exception {
		Path file = changed("cost: 400", "cots: 400");
		Result result = run("config", "apply", file.toString());
		assertThat(result.code()).isEqualTo(ExitCodes.INVALID);
		assertThat(result.err().lines()).hasSizeGreaterThan(1)
			.anyMatch((line) -> line.contains("versions[2].cots") && line.contains("did you mean 'cost'?"));
	}

	@Test
	void eachCommandHasHelpAndCompletion() {
		String completion = run("generate-completion").out();
		for (CommandLine command : Main.commandLine().getSubcommands().values()) {
			assertThat(completion).contains(command.getCommandName());
			assertThat(command.getUsageMessage(CommandLine.Help.Ansi.OFF)).contains("Usage: ", "--help");
		}
	}

	private Path changed(String old, String replacement) throws Exception {
		Path file = Files.createTempFile(this.directory, "catalogue", ".yaml");
		return Files.writeString(file, Files.readString(Path.of(CATALOGUE)).replace(old, replacement));
	}

	private static Result run(String... arguments) {
		List<String> all = new ArrayList<>(List.of(arguments));
		boolean remote = List.of("config", "version", "rollout", "host", "explain", "bills").contains(arguments[0]);
		if (remote && arguments.length > 1 && !all.contains("--host")) {
			all.addAll(List.of("--host", "127.0.0.1:" + fleet.hosts().get(1).httpPort()));
		}
		if (remote && arguments.length == 1 && "bills".equals(arguments[0])) {
			all.addAll(List.of("--host", "127.0.0.1:" + fleet.hosts().get(0).httpPort()));
		}
		StringWriter out = new StringWriter();
		StringWriter err = new StringWriter();
		int code = Main.commandLine()
			.setOut(new PrintWriter(out))
			.setErr(new PrintWriter(err))
			.execute(all.toArray(String[]::new));
		return new Result(code, out.toString(), err.toString());
	}

	private record Result(int code, String out, String err) {
	}

}
