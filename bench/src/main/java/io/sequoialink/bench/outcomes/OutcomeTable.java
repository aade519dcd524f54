package io.sequoialink.bench.outcomes;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import io.sequoialink.bench.ExperimentException;
import io.sequoialink.bench.ExperimentOptions;

/**
 * A table of outcomes: versions from the cheapest to the dearest, the rating service, and
 * the classes with their hidden difficulties. Immutable and thread-safe.
 *
 * @param versions the versions, cheapest first
 * @param rating how answers are rated
 * @param classes the classes of requests; their shares add up to 1
 */
public record OutcomeTable(List<VersionRow> versions, RatingRow rating, List<ClassRow> classes) {

	private static final long NO_DEADLINE = 3_600_000;

	private static final double SHARE_TOLERANCE = 1e-6;

	private static final ObjectMapper YAML = new ObjectMapper(new YAMLFactory());

	public OutcomeTable {
		versions = versions.stream().sorted(Comparator.comparingLong(VersionRow::cost)).toList();
		classes = List.copyOf(classes);
		requireWhole("classes", classes.stream().mapToDouble(ClassRow::share).sum());
		for (ClassRow row : classes) {
			requireWhole("difficulties of " + row.id(),
					row.difficulties().stream().mapToDouble(Difficulty::share).sum());
			requireChances(row, versions);
		}
	}

	/**
	 * Reads the table that the options ask for.
	 * @param options the options of a run
	 * @return the given file's table, or that of the deployment
	 * @throws ExperimentException if it cannot be read or is malformed
	 */
	public static OutcomeTable of(ExperimentOptions options) throws ExperimentException {
		return options.outcomes().isPresent() ? read(options.outcomes().get()) : deployment(options.deployment());
	}

	/**
	 * Reads a shipped table.
	 * @param name {@code magnolia} or {@code bergvik}
	 * @return the table
	 * @throws ExperimentException if there is none of that name
	 */
	public static OutcomeTable deployment(String name) throws ExperimentException {
		String resource = "/outcomes-" + name + ".yaml";
		try (InputStream in = OutcomeTable.class.getResourceAsStream(resource)) {
			if (in == null) {
				throw new ExperimentException(
						"no outcomes for deployment '" + name + "': use magnolia or bergvik, or --outcomes FILE", null);
			}
			return YAML.readValue(in, OutcomeTable.class);
		}
		catch (IOException ex) {
			throw new ExperimentException("cannot read " + resource + ": " + ex.getMessage(), ex);
		}
	}

	/**
	 * Reads a table from a file.
	 * @param file a YAML file
	 * @return the table
	 * @throws ExperimentException if it cannot be read or is malformed
	 */
	public static OutcomeTable read(Path file) throws ExperimentException {
		try (InputStream in = Files.newInputStream(file)) {
			return YAML.readValue(in, OutcomeTable.class);
		}
		catch (IOException ex) {
			throw new ExperimentException("cannot read outcomes " + file + ": " + ex.getMessage(), ex);
		}
	}

	/**
	 * Returns the same table without sessions and, if asked for, without deadlines, to
	 * see what these constraints cost.
	 * @param withDeadlines whether deadlines stay
	 * @return the changed copy
	 */
	public OutcomeTable relaxed(boolean withDeadlines) {
		List<ClassRow> rows = this.classes.stream()
			.map((row) -> new ClassRow(row.id(), row.share(), row.qualityTarget(),
					withDeadlines ? row.deadline() : NO_DEADLINE, Span.ONE, row.promptTokens(), row.answerTokens(),
					row.difficulties()))
			.toList();
		return new OutcomeTable(this.versions, this.rating, rows);
	}

	private static void requireWhole(String what, double sum) {
		if (Math.abs(sum - 1) > SHARE_TOLERANCE) {
			throw new IllegalArgumentException("shares of " + what + " add up to " + sum + ": they must add up to 1");
		}
	}

	private static void requireChances(ClassRow row, List<VersionRow> versions) {
		for (Difficulty difficulty : row.difficulties()) {
			for (VersionRow version : versions) {
				if (!difficulty.chance().containsKey(version.id())) {
					throw new IllegalArgumentException(
							"class " + row.id() + " states no chance of version " + version.id());
				}
			}
		}
	}

	/**
	 * A version. Immutable and thread-safe.
	 *
	 * @param id identifier
	 * @param cost micro-euros for 1,000 tokens
	 * @param firstToken milliseconds to the first token
	 * @param betweenTokens milliseconds between tokens
	 */
	public record VersionRow(String id, long cost, @JsonProperty("first_token") double firstToken,
			@JsonProperty("between_tokens") double betweenTokens) {

		/**
		 * Returns the time to a whole answer.
		 * @param answerTokens tokens of the answer
		 * @return milliseconds
		 */
		public double millis(double answerTokens) {
			return this.firstToken + this.betweenTokens * answerTokens;
		}

	}

	/**
	 * The rating service. Immutable and thread-safe.
	 *
	 * @param noiseSd standard deviation of the noise, on the scale of ratings from 0 to 1
	 * @param delay mean milliseconds from the answer to its rating
	 * @param missingShare share of answers that get no rating
	 */
	public record RatingRow(@JsonProperty("noise_sd") double noiseSd, double delay,
			@JsonProperty("missing_share") double missingShare) {
	}

	/**
	 * A class of requests. Immutable and thread-safe.
	 *
	 * @param id identifier
	 * @param share share of requests
	 * @param qualityTarget share of answers that must be good enough
	 * @param deadline milliseconds from arrival to the whole answer
	 * @param sessionTurns turns of a session; one turn if the class has no sessions
	 * @param promptTokens tokens of a prompt
	 * @param answerTokens tokens of an answer
	 * @param difficulties the hidden difficulties
	 */
	public record ClassRow(String id, double share, @JsonProperty("quality_target") double qualityTarget, long deadline,
			@JsonProperty("session_turns") Span sessionTurns, @JsonProperty("prompt_tokens") Span promptTokens,
			@JsonProperty("answer_tokens") Span answerTokens, List<Difficulty> difficulties) {

		public ClassRow {
			sessionTurns = (sessionTurns != null) ? sessionTurns : Span.ONE;
			difficulties = List.copyOf(difficulties);
		}

		/**
		 * Returns whether its requests come in sessions.
		 * @return whether a session may have more than one turn
		 */
		public boolean inSessions() {
			return this.sessionTurns.max() > 1;
		}

	}

	/**
	 * A difficulty, never shown to a policy. Immutable and thread-safe.
	 *
	 * @param share share of the class's requests
	 * @param chance chance of each version to give a good answer
	 */
	public record Difficulty(double share, Map<String, Double> chance) {

		public Difficulty {
			chance = Map.copyOf(chance);
		}

	}

	/**
	 * An inclusive range of whole numbers. Immutable and thread-safe.
	 *
	 * @param min smallest
	 * @param max largest
	 */
	public record Span(int min, int max) {

		private static final Span ONE = new Span(1, 1);

		/**
		 * Returns the middle of the range.
		 * @return the mean of a uniform draw
		 */
		public double mean() {
			return (this.min + this.max) / 2.0;
		}

	}

}
