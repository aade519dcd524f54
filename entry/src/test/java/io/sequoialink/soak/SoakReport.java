package io.sequoialink.soak;

import java.util.List;
import java.util.Map;

/**
 * What one run has shown. Immutable.
 *
 * @param seed seed of the run
 * @param counts what clients and servers saw, by name
 * @param violations promises that were broken
 */
public record SoakReport(long seed, Map<String, Integer> counts, List<Violation> violations) {
}
