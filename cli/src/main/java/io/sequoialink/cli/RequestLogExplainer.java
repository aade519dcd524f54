package io.sequoialink.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Reconstructs from the log lines of entry hosts how one request was handled. Confined to
 * one thread. Lines that are not JSON log lines of an entry host are skipped.
 */
final class RequestLogExplainer {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	/** Text of SL-3101, the last line of every request. */
	private static final Pattern REQUEST_ENDED = Pattern
		.compile("request (\\S+) of account (\\S+) on route (\\S+) ended with (\\d+): run (\\S+), sends (\\d+), "
				+ "server (\\S+), (\\d+) ms: (.*)");

	/** Text of SL-3102: an attempt ended without a complete successful response. */
	private static final Pattern ATTEMPT_ENDED = Pattern
		.compile("request (\\S+) send (\\d+) to (\\S+) ended: (.*) after (\\d+) ms");

	/** Text of SL-3110: no permit at once for a server that takes a limited number. */
	private static final Pattern PERMIT_DECIDED = Pattern
		.compile("request (\\S+) and limited server (\\S+): (.*), longest wait (\\d+) ms, next permit in (\\d+) ms");

	/**
	 * Text of SL-3104: the cascade discarded the answer of a model and tries another one.
	 */
	private static final Pattern ANSWER_DISCARDED = Pattern
		.compile("request (\\S+): answer of (\\S+) with opinion (\\d+) dropped for (\\S+)");

	/**
	 * Events of the same host within this time before the last log line of a request are
	 * reported with it, in milliseconds.
	 */
	private static final long RELATED_EVENTS_MILLIS = 5000;

	private final String request;

	private final List<Line> lines = new ArrayList<>();

	RequestLogExplainer(String request) {
		this.request = request;
	}

	/**
	 * Collects log lines.
	 * @param source the log lines of any hosts, in any order
	 * @throws IOException if the source cannot be read
	 */
	void read(BufferedReader source) throws IOException {
		for (String text = source.readLine(); text != null; text = source.readLine()) {
			parse(text).ifPresent(this.lines::add);
		}
	}

	private static Optional<Line> parse(String text) {
		int jsonStart = text.indexOf('{');
		if (jsonStart < 0) {
			return Optional.empty();
		}
		try {
			JsonNode node = MAPPER.readTree(text.substring(jsonStart));
			if (!node.hasNonNull("event") || !node.hasNonNull("time")) {
				return Optional.empty();
			}
			return Optional.of(new Line(Instant.parse(node.path("time").asText()), node.path("host").asText(),
					node.path("event").asText(), node.path("text").asText()));
		}
		catch (JsonProcessingException | java.time.DateTimeException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Describes what happened to the request.
	 * @return one sentence for each log line of the request in the order of time, then
	 * the restart of its host and related events, if any; empty if no line names the
	 * request
	 */
	List<String> describe() {
		this.lines.sort(Comparator.comparing(Line::time));
		List<Line> requestLines = this.lines.stream().filter(this::isOfRequest).toList();
		List<String> sentences = new ArrayList<>();
		for (Line line : requestLines) {
			sentences.add(line.time() + " " + line.host() + ": " + toSentence(line));
		}
		if (!requestLines.isEmpty()) {
			describeRestart(requestLines).ifPresent(sentences::add);
			sentences.addAll(relatedEvents(requestLines.get(requestLines.size() - 1), servers(requestLines)));
		}
		return sentences;
	}

	// If the final line (SL-3101) of a request is missing, its host ended while handling
	// it; the next start of that host (SL-3001) shows this.
	private Optional<String> describeRestart(List<Line> requestLines) {
		if (requestLines.stream().anyMatch((line) -> REQUEST_ENDED.matcher(line.text()).matches())) {
			return Optional.empty();
		}
		Line lastLine = requestLines.get(requestLines.size() - 1);
		return this.lines.stream()
			.filter((line) -> line.event().equals("SL-3001") && line.host().equals(lastLine.host()))
			.filter((line) -> line.time().isAfter(lastLine.time()))
			.findFirst()
			.map((line) -> line.time() + " " + line.host() + ": there is no final line, and the host started again now:"
					+ " its process had ended while the request was under way.");
	}

	private boolean isOfRequest(Line line) {
		return line.text().startsWith("request " + this.request + " ")
				|| line.text().startsWith("request " + this.request + ":");
	}

	private static String toSentence(Line line) {
		Matcher end = REQUEST_ENDED.matcher(line.text());
		if (end.matches()) {
			return "it ended with " + describeStatus(end.group(4)) + " after " + end.group(8) + " ms on route "
					+ end.group(3) + " of account " + end.group(2) + ". " + describeExecution(end.group(5)) + ", after "
					+ end.group(6) + " sends, the last to " + end.group(7) + ". Cause: " + end.group(9) + ".";
		}
		Matcher attempt = ATTEMPT_ENDED.matcher(line.text());
		if (attempt.matches()) {
			return "send " + attempt.group(2) + " to server " + attempt.group(3) + " ended after " + attempt.group(5)
					+ " ms: " + attempt.group(4) + ".";
		}
		Matcher permit = PERMIT_DECIDED.matcher(line.text());
		if (permit.matches()) {
			return "server " + permit.group(2) + " takes a limited number of requests: " + permit.group(3)
					+ ", next permit in " + permit.group(5) + " ms, the request could wait " + permit.group(4) + " ms.";
		}
		Matcher discarded = ANSWER_DISCARDED.matcher(line.text());
		if (discarded.matches()) {
			return "the answer of model " + discarded.group(2) + " was given up for model " + discarded.group(4)
					+ ", since its own opinion of it was " + discarded.group(3) + " of 100.";
		}
		return line.text();
	}

	private static String describeStatus(String code) {
		return code.equals("0") ? "a closed connection" : "status " + code;
	}

	private static String describeExecution(String executed) {
		return switch (executed) {
			case "NO" -> "It was not run";
			case "YES" -> "It was run";
			default -> "It may have been run";
		};
	}

	private static Set<String> servers(List<Line> requestLines) {
		Set<String> servers = new HashSet<>();
		for (Line line : requestLines) {
			Matcher end = REQUEST_ENDED.matcher(line.text());
			Matcher attempt = ATTEMPT_ENDED.matcher(line.text());
			Matcher permit = PERMIT_DECIDED.matcher(line.text());
			if (permit.matches()) {
				servers.add(permit.group(2));
			}
			if (end.matches()) {
				servers.add(end.group(7).split("/")[0]);
			}
			if (attempt.matches()) {
				servers.add(attempt.group(3));
			}
		}
		return servers;
	}

	// Events of the same host shortly before the last line that may explain the outcome.
	// Of the request's servers: ejected after a failure (SL-3103), shutting down
	// (SL-3105), back-off (SL-3106), notice reported by another host (SL-3107), limit
	// named
	// or reported (SL-3108, SL-3109), registration changed (SL-3205). Of the host:
	// started, draining, stopped (SL-3001 to
	// SL-3003), store unreadable or readable again (SL-3203, SL-3204), roll-out stopped
	// by this host (SL-3302) or ended (SL-3305).
	private List<String> relatedEvents(Line lastLine, Set<String> servers) {
		List<String> events = new ArrayList<>();
		for (Line line : this.lines) {
			boolean recent = !line.time().isAfter(lastLine.time())
					&& line.time().isAfter(lastLine.time().minusMillis(RELATED_EVENTS_MILLIS));
			boolean aboutServer = line.event().matches("SL-310[356789]|SL-3205")
					&& servers.stream().anyMatch((server) -> line.text().startsWith("server " + server + " "));
			boolean aboutHost = line.event().matches("SL-300[1-3]|SL-3203|SL-3204|SL-330[25]");
			if (recent && line.host().equals(lastLine.host()) && (aboutServer || aboutHost)) {
				events.add(line.time() + " " + line.host() + ", shortly before: " + line.text() + ".");
			}
		}
		return events;
	}

	/**
	 * One JSON log line of an entry host, with the values of its keys. Immutable.
	 */
	private record Line(Instant time, String host, String event, String text) {
	}

}
