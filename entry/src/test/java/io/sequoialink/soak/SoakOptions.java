package io.sequoialink.soak;

import java.nio.file.Path;
import java.util.List;

/**
 * Settings of one run. Immutable.
 *
 * @param seed seed of all draws; times still depend on the machine
 * @param millis time with disturbances, in milliseconds
 * @param hosts number of host processes
 * @param program arguments of java that start an entry host, without the settings file
 * @param directory where settings and logs of the hosts go
 */
public record SoakOptions(long seed, long millis, int hosts, List<String> program, Path directory) {
}
