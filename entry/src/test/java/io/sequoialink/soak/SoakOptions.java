package io.sequoialink.soak;

import java.nio.file.Path;
import java.util.List;

/**
 * Options of one soak run. Immutable.
 *
 * @param seed seed of all random choices; timing still depends on the machine
 * @param millis time during which faults are injected, in milliseconds
 * @param hosts number of host processes
 * @param program Java arguments that start an entry host, without the settings file
 * @param directory directory for settings and logs of the hosts
 */
public record SoakOptions(long seed, long millis, int hosts, List<String> program, Path directory) {
}
