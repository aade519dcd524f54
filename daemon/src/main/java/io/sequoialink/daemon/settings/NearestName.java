package io.sequoialink.daemon.settings;

import java.util.Collection;
import java.util.Comparator;
import java.util.Locale;
import java.util.Optional;

/**
 * Finds the known name that a misspelt one most likely stands for. Stateless and
 * thread-safe.
 */
public final class NearestName {

	private NearestName() {
	}

	/**
	 * Returns the known name that differs in the fewest characters.
	 * @param name the misspelt name
	 * @param known the known names
	 * @return the nearest, or empty if none differs by less than half its length
	 */
	public static Optional<String> of(String name, Collection<String> known) {
		return known.stream()
			.min(Comparator.<String>comparingInt((candidate) -> distance(name, candidate))
				.thenComparing(Comparator.naturalOrder()))
			.filter((candidate) -> distance(name, candidate) * 2 <= Math.max(candidate.length(), 2));
	}

	private static int distance(String left, String right) {
		String a = left.toLowerCase(Locale.ROOT);
		String b = right.toLowerCase(Locale.ROOT);
		int[] previous = new int[b.length() + 1];
		for (int j = 0; j <= b.length(); j++) {
			previous[j] = j;
		}
		for (int i = 1; i <= a.length(); i++) {
			int[] current = new int[b.length() + 1];
			current[0] = i;
			for (int j = 1; j <= b.length(); j++) {
				int change = previous[j - 1] + ((a.charAt(i - 1) != b.charAt(j - 1)) ? 1 : 0);
				current[j] = Math.min(change, 1 + Math.min(previous[j], current[j - 1]));
			}
			previous = current;
		}
		return previous[b.length()];
	}

}
