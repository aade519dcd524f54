package io.sequoialink.gateway.crash;

import java.util.List;
import java.util.Set;

/**
 * Traits of requests that crash servers, as the platform's store keeps them. Immutable.
 *
 * @param traits the traits; more than one if they can't be told apart
 * @param label text that names them for operators
 * @param crashes number of crashes that count against them
 * @param servers incarnations that crashed, as far as the writing host knows
 * @param ageMillis time since they became culprits, in milliseconds
 */
public record CulpritRecord(Set<Long> traits, String label, int crashes, List<String> servers, long ageMillis) {
}
