package io.sequoialink.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import io.sequoialink.bench.live.Caller;
import io.sequoialink.bench.live.DeploymentObjects;
import io.sequoialink.bench.live.LiveFleet;
import io.sequoialink.daemon.host.HostPolicies;
import io.sequoialink.model.Json;
import io.sequoialink.standin.OutcomeTable;
import io.sequoialink.standin.Standins;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Compares the transcripts of complete sessions with golden files, so that an unintended
 * change of responses or explanations fails. {@code -Dgolden.update=true} rewrites the
 * files. A transcript leaves out times, server names and figures that depend on times,
 * which differ between runs.
 */
class GoldenSessionTests {

	private static final double SPEED = 0.01;

	private static final long SEED = 5;

	private static final long START_MILLIS = 1_700_000_000_000L;

	private static final int TURNS = 4;

	private final List<String> transcript = new ArrayList<>();

	private String token = "new";

	@ParameterizedTest
	@ValueSource(strings = { "magnolia", "bergvik" })
	void transcriptMatchesGoldenFile(String deployment) throws Exception {
		Standins standins = Standins.of(deployment).seed(SEED).timeScale(SPEED).start();
		OutcomeTable.RequestClass sessionClass = standins.outcomes()
			.table()
			.classes()
			.stream()
			.filter((requestClass) -> requestClass.sessionTurns() != null)
			.findFirst()
			.orElseThrow();
		try (LiveFleet fleet = LiveFleet.start(deployment, standins, 1, HostPolicies.DEFAULT, SEED, () -> START_MILLIS);
				Caller caller = new Caller(fleet.hosts().get(0).httpPort())) {
			session(caller, deployment, sessionClass.id());
		}
		Path golden = Path.of("src/test/resources/golden/" + deployment + "-session.txt");
		String text = String.join("\n", this.transcript) + "\n";
		if (Boolean.getBoolean("golden.update")) {
			Files.createDirectories(golden.getParent());
			Files.writeString(golden, text);
		}
		assertThat(text).isEqualTo(Files.readString(golden));
	}

	private void session(Caller caller, String deployment, String requestClass) throws IOException {
		for (int turn = 0; turn < TURNS; turn++) {
			chat(caller, "account-1", requestClass, "turn " + turn, turn % 2 == 1);
		}
		chat(caller, "account-2", requestClass, "a foreign turn", false);
		charge(caller, deployment, "{\"amount\":40}");
		charge(caller, deployment, "{\"amount\":40}");
		charge(caller, deployment, "{\"amount\":41}");
		withdraw(caller);
		chat(caller, "account-1", requestClass, "after the withdrawal", false);
		this.token = "new";
		chat(caller, "account-1", requestClass, "a new session", false);
	}

	private void chat(Caller caller, String account, String requestClass, String prompt, boolean streamed)
			throws IOException {
		Caller.Reply reply = caller.chat(DeploymentObjects.key(account), requestClass, prompt, 40, streamed,
				Map.of("x-sequoialink-session", this.token));
		this.token = reply.header("x-sequoialink-session").orElse(this.token);
		this.transcript.add("> " + account + " " + requestClass + (streamed ? " streams: " : ": ") + prompt);
		this.transcript.add(reply.answered() ? "< " + reply.status() + " " + answer(reply) : "< " + refusal(reply));
		explain(caller, reply);
	}

	private void charge(Caller caller, String deployment, String body) throws IOException {
		Caller.Reply reply = caller.charge(DeploymentObjects.key("account-1"),
				DeploymentObjects.chargingService(deployment), "golden-1", body);
		this.transcript.add("> account-1 charges golden-1 " + body);
		this.transcript
			.add(reply.answered() ? "< " + reply.status() + " execution " + json(reply.text()).path("execution").asInt()
					: "< " + refusal(reply));
		explain(caller, reply);
	}

	private void withdraw(Caller caller) throws IOException {
		JsonNode versions = json(caller
			.send("POST", "/admin/withdraw", Map.of(),
					Json.write(Map.of("selector", "tier=large", "author", "operator", "reason", "golden")))
			.text()).path("versions");
		this.transcript.add("> operator withdraws tier=large");
		this.transcript.add("< withdrawn " + versions);
	}

	private static String answer(Caller.Reply reply) throws IOException {
		StringBuilder text = new StringBuilder();
		if (reply.text().startsWith("data: ")) {
			for (String event : reply.text().split("\n\n")) {
				if (event.startsWith("data: {")) {
					text.append(json(event.substring("data: ".length())).path("choices")
						.path(0)
						.path("delta")
						.path("content")
						.asText());
				}
			}
		}
		else {
			text.append(json(reply.text()).path("choices").path(0).path("message").path("content").asText());
		}
		return reply.header("x-sequoialink-version").orElse("-") + ": " + text;
	}

	private static String refusal(Caller.Reply reply) {
		return reply.status() + " " + reply.error().path("code").asText() + ", executed "
				+ reply.error().path("executed").asText() + ": " + reply.error().path("message").asText();
	}

	private void explain(Caller caller, Caller.Reply reply) throws IOException {
		JsonNode explanation = json(
				caller.send("GET", "/admin/explain/" + reply.request().orElse("-"), Map.of(), "").text());
		StringBuilder line = new StringBuilder("  revision ").append(explanation.path("revision").asLong());
		line.append(", allowed ").append(explanation.path("allowed"));
		explanation.path("decisions")
			.forEach((decision) -> line.append(", chose ").append(decision.path("version").asText()));
		explanation.path("attempts")
			.forEach((attempt) -> line.append(", ran ")
				.append(attempt.path("version").asText())
				.append(' ')
				.append(attempt.path("outcome").asText())
				.append(' ')
				.append(attempt.path("effect").asText()));
		explanation.path("steps").forEach((step) -> line.append(", ").append(step.asText()));
		if (explanation.path("bill").isObject()) {
			line.append(", billed ").append(explanation.path("bill").path("tokens").asLong()).append(" tokens ");
			line.append(explanation.path("bill").path("cost").asLong()).append(" micro-euros");
		}
		this.transcript.add(line.toString());
	}

	private static JsonNode json(String text) throws IOException {
		return Json.mapper().readTree(text);
	}

}
