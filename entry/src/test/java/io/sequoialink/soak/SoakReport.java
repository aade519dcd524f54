package io.sequoialink.soak;

import java.util.List;
import java.util.Map;

/**
 * Result of one soak run. Immutable.
 *
 * @param seed seed of the run
 * @param counts numbers of events at clients and servers, by name of the event
 * @param violations violated guarantees, empty if there are none
 */
public record SoakReport(long seed, Map<String, Integer> counts, List<Violation> violations) {
}
