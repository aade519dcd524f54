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
 * Simulated behaviour of the model versions: cost and speed of each version, and its
 * success probability for each class of requests and level of difficulty. Read from YAML.
 * Costs are in micro-euros for 1,000 tokens, times in milliseconds, probabilities and
 * shares in [0, 1]. Immutable and thread-safe.
 *
 * @param versions the versions from the cheapest to the most expensive
 * @param rating how long simulated ratings are delayed, how much they are randomly
 * distorted and how many are missing
 * @param classes the request classes; unknown classes are treated as the first one
 */
public record OutcomeTable(List<Version> versions, Rating rating, List<RequestClass> classes) {

	private static final ObjectMapper YAML = new ObjectMapper(new YAMLFactory());

	public OutcomeTable {
		versions = List.copyOf(versions);
		classes = List.copyOf(classes);
	}

	/**
	 * Reads the table that is bundled with this module for a deployment.
	 * @param deployment {@code magnolia} or {@code bergvik}
	 * @return the table
	 * @throws IOException if no table is bundled under that name or it cannot be read
	 */
	public static OutcomeTable bundled(String deployment) throws IOException {
		try (InputStream input = OutcomeTable.class.getResourceAsStream("/outcomes-" + deployment + ".yaml")) {
			if (input == null) {
				throw new IOException("no outcome table for '" + deployment + "': use magnolia or bergvik");
			}
			return YAML.readValue(input, OutcomeTable.class);
		}
	}

	/**
	 * Reads a table from a file.
	 * @param file a YAML file
	 * @return the table
	 * @throws IOException if the file cannot be read or is no outcome table
	 */
	public static OutcomeTable read(Path file) throws IOException {
		try (InputStream input = Files.newInputStream(file)) {
			return YAML.readValue(input, OutcomeTable.class);
		}
	}

	/**
	 * Returns the cost and speed of a version.
	 * @param id the identifier of the version
	 * @return its entry in the table
	 * @throws IllegalArgumentException if the table has no such version
	 */
	public Version version(String id) {
		return this.versions.stream()
			.filter((version) -> version.id().equals(id))
			.findFirst()
			.orElseThrow(() -> new IllegalArgumentException("no version '" + id + "' in the outcome table"));
	}

	/**
	 * Returns a request class.
	 * @param id the identifier of the class
	 * @return its entry in the table, or the first entry if the class is unknown
	 */
	public RequestClass requestClass(String id) {
		return this.classes.stream()
			.filter((candidate) -> candidate.id().equals(id))
			.findFirst()
			.orElse(this.classes.get(0));
	}

	/**
	 * Returns a copy of this table with one more version.
	 * @param id the identifier of the new version
	 * @param baseVersion the existing version from which it takes times and cost
	 * @param probabilityFactor factor applied to the success probabilities of the
	 * existing version; results are capped at 1
	 * @return the extended table
	 */
	public OutcomeTable withCandidate(String id, String baseVersion, double probabilityFactor) {
		Version base = version(baseVersion);
		List<Version> extended = new ArrayList<>(this.versions);
		extended.add(new Version(id, base.cost(), base.firstToken(), base.betweenTokens()));
		return new OutcomeTable(extended, this.rating,
				this.classes.stream().map((old) -> old.withCandidate(id, baseVersion, probabilityFactor)).toList());
	}

	/**
	 * Cost and speed of one model version. Immutable and thread-safe.
	 *
	 * @param id the identifier of the version
	 * @param cost cost in micro-euros for 1,000 tokens
	 * @param firstToken time to the first token if no part of the prompt is cached, in
	 * milliseconds
	 * @param betweenTokens time from one token to the next, in milliseconds
	 */
	public record Version(String id, long cost, @JsonProperty("first_token") double firstToken,
			@JsonProperty("between_tokens") double betweenTokens) {
	}

	/**
	 * How long simulated ratings are delayed, how much they are randomly distorted
	 * (noise) and how many are missing. Immutable and thread-safe.
	 *
	 * @param noiseSd standard deviation of the noise that is added to a rating
	 * @param delay delay of a rating in milliseconds
	 * @param missingShare share of answers that get no rating
	 */
	public record Rating(@JsonProperty("noise_sd") double noiseSd, double delay,
			@JsonProperty("missing_share") double missingShare) {
	}

	/**
	 * A class of requests with the same targets. Immutable and thread-safe.
	 *
	 * @param id the identifier of the class
	 * @param share share of all requests that belong to the class
	 * @param qualityTarget share of answers that must meet the target
	 * @param deadline permitted time to the complete answer, in milliseconds
	 * @param sessionTurns number of turns in a session, or {@code null} if the class has
	 * no sessions
	 * @param promptTokens number of tokens in a prompt
	 * @param answerTokens number of tokens in an answer
	 * @param difficulties levels of difficulty, which the router cannot see
	 */
	public record RequestClass(String id, double share, @JsonProperty("quality_target") double qualityTarget,
			double deadline, @JsonProperty("session_turns") Range sessionTurns,
			@JsonProperty("prompt_tokens") Range promptTokens, @JsonProperty("answer_tokens") Range answerTokens,
			List<Difficulty> difficulties) {

		RequestClass withCandidate(String candidate, String baseVersion, double probabilityFactor) {
			return new RequestClass(this.id, this.share, this.qualityTarget, this.deadline, this.sessionTurns,
					this.promptTokens, this.answerTokens,
					this.difficulties.stream()
						.map((old) -> old.withCandidate(candidate, baseVersion, probabilityFactor))
						.toList());
		}

	}

	/**
	 * Range of integers, both ends included. Immutable and thread-safe.
	 *
	 * @param min the smallest number
	 * @param max the largest number
	 */
	public record Range(int min, int max) {

		/**
		 * Returns the number at a given fraction of the range, to turn a uniform random
		 * number into one of this range.
		 * @param fraction from 0 (included) to 1 (excluded)
		 * @return a number from {@code min} to {@code max}
		 */
		public int quantile(double fraction) {
			return this.min + (int) (fraction * (this.max - this.min + 1));
		}

	}

	/**
	 * A level of difficulty within a request class. Immutable and thread-safe.
	 *
	 * @param share share of the class's requests that have this difficulty
	 * @param chance success probability by version: how likely its answer meets the
	 * target
	 */
	public record Difficulty(double share, Map<String, Double> chance) {

		Difficulty withCandidate(String candidate, String baseVersion, double probabilityFactor) {
			Map<String, Double> extended = new TreeMap<>(this.chance);
			extended.put(candidate, Math.min(1, this.chance.getOrDefault(baseVersion, 0.0) * probabilityFactor));
			return new Difficulty(this.share, extended);
		}

	}

}
