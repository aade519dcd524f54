package io.sequoialink.standin;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;

/**
 * A table of outcomes: how good, fast and dear each version is, for each class of
 * requests and difficulty. Immutable and thread-safe. Costs are micro-euros for 1,000
 * tokens, times milliseconds, chances and shares in [0, 1].
 *
 * @param versions the versions from the cheapest to the dearest
 * @param rating how ratings deviate from the drawn outcomes
 * @param classes the classes of requests
 */
public record OutcomeTable(List<Version> versions, Rating rating, List<RequestClass> classes) {

	private static final ObjectMapper YAML = new ObjectMapper(new YAMLFactory());

	public OutcomeTable {
		versions = List.copyOf(versions);
		classes = List.copyOf(classes);
	}

	/**
	 * Reads the shipped table of a deployment.
	 * @param deployment {@code magnolia} or {@code bergvik}
	 * @return the table
	 * @throws IOException if there is none of that name
	 */
	public static OutcomeTable shipped(String deployment) throws IOException {
		try (InputStream input = OutcomeTable.class.getResourceAsStream("/outcomes-" + deployment + ".yaml")) {
			if (input == null) {
				throw new IOException("no table of outcomes for '" + deployment + "': use magnolia or bergvik");
			}
			return YAML.readValue(input, OutcomeTable.class);
		}
	}

	/**
	 * Reads a table from a file.
	 * @param file a YAML file
	 * @return the table
	 * @throws IOException if it can't be read
	 */
	public static OutcomeTable read(Path file) throws IOException {
		try (InputStream input = Files.newInputStream(file)) {
			return YAML.readValue(input, OutcomeTable.class);
		}
	}

	/**
	 * Returns a version's figures.
	 * @param id the version
	 * @return its figures
	 * @throws IllegalArgumentException if the table has no such version
	 */
	public Version version(String id) {
		return this.versions.stream()
			.filter((version) -> version.id().equals(id))
			.findFirst()
			.orElseThrow(() -> new IllegalArgumentException("no version '" + id + "' in the table of outcomes"));
	}

	/**
	 * Returns a class's figures; an unknown class is treated as the first one.
	 * @param id the class
	 * @return its figures
	 */
	public RequestClass requestClass(String id) {
		return this.classes.stream()
			.filter((candidate) -> candidate.id().equals(id))
			.findFirst()
			.orElse(this.classes.get(0));
	}

	/**
	 * Returns a table with one more version.
	 * @param id the new version
	 * @param like the version whose times and cost it shares
	 * @param chanceFactor factor on that version's chances
	 * @return the larger table
	 */
	public OutcomeTable withCandidate(String id, String like, double chanceFactor) {
		Version model = version(like);
		List<Version> more = new ArrayList<>(this.versions);
		more.add(new Version(id, model.cost(), model.firstToken(), model.betweenTokens()));
		return new OutcomeTable(more, this.rating,
				this.classes.stream().map((old) -> old.withCandidate(id, like, chanceFactor)).toList());
	}

	/**
	 * One version. Immutable and thread-safe.
	 *
	 * @param id the version
	 * @param cost micro-euros for 1,000 tokens
	 * @param firstToken time to the first token of an uncached prompt, in milliseconds
	 * @param betweenTokens time from one token to the next, in milliseconds
	 */
	public record Version(String id, long cost, @JsonProperty("first_token") double firstToken,
			@JsonProperty("between_tokens") double betweenTokens) {
	}

	/**
	 * How ratings deviate. Immutable and thread-safe.
	 *
	 * @param noiseSd standard deviation of the noise
	 * @param delay time until a rating, in milliseconds
	 * @param missingShare share of answers that get no rating
	 */
	public record Rating(@JsonProperty("noise_sd") double noiseSd, double delay,
			@JsonProperty("missing_share") double missingShare) {
	}

	/**
	 * One class of requests. Immutable and thread-safe.
	 *
	 * @param id the class
	 * @param share its share of the requests
	 * @param qualityTarget share of answers that must be good enough
	 * @param deadline time to the whole answer, in milliseconds
	 * @param sessionTurns turns of a session, or {@code null} without sessions
	 * @param promptTokens tokens of a prompt
	 * @param answerTokens tokens of an answer
	 * @param difficulties hidden difficulties
	 */
	public record RequestClass(String id, double share, @JsonProperty("quality_target") double qualityTarget,
			double deadline, @JsonProperty("session_turns") Range sessionTurns,
			@JsonProperty("prompt_tokens") Range promptTokens, @JsonProperty("answer_tokens") Range answerTokens,
			List<Difficulty> difficulties) {

		RequestClass withCandidate(String candidate, String like, double chanceFactor) {
			return new RequestClass(this.id, this.share, this.qualityTarget, this.deadline, this.sessionTurns,
					this.promptTokens, this.answerTokens,
					this.difficulties.stream().map((old) -> old.with(candidate, like, chanceFactor)).toList());
		}

	}

	/**
	 * Whole numbers from a least to a greatest. Immutable and thread-safe.
	 *
	 * @param min the least
	 * @param max the greatest
	 */
	public record Range(int min, int max) {

		/**
		 * Returns the number at a place in the range.
		 * @param place from 0 up to but not including 1
		 * @return a number from the least to the greatest
		 */
		public int at(double place) {
			return this.min + (int) (place * (this.max - this.min + 1));
		}

	}

	/**
	 * One difficulty of a class. Immutable and thread-safe.
	 *
	 * @param share its share of the class's requests
	 * @param chance each version's chance to meet the target
	 */
	public record Difficulty(double share, Map<String, Double> chance) {

		Difficulty with(String candidate, String like, double factor) {
			Map<String, Double> more = new TreeMap<>(this.chance);
			more.put(candidate, Math.min(1, this.chance.getOrDefault(like, 0.0) * factor));
			return new Difficulty(this.share, more);
		}

	}

}
