package io.sequoialink.gateway.http;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Derives the maximum number of client connections from the number of descriptors that
 * the process may open. Stateless.
 */
final class ConnectionLimit {

	private static final Logger logger = LoggerFactory.getLogger(ConnectionLimit.class);

	private static final Path LIMITS = Path.of("/proc/self/limits");

	private static final String OPEN_FILES = "Max open files";

	/** Descriptors assumed if the system does not tell their maximum. */
	private static final int DEFAULT_DESCRIPTORS = 1024;

	/**
	 * Share of the descriptors for client connections. The rest is for connections to
	 * servers, the store and other hosts, readiness probes and files.
	 */
	private static final double SHARE_OF_CLIENTS = 0.75;

	private ConnectionLimit() {
	}

	/**
	 * Returns the maximum for this process.
	 * @return number of client connections
	 */
	static int ofProcess() {
		return (int) (descriptors() * SHARE_OF_CLIENTS);
	}

	private static int descriptors() {
		try (Stream<String> lines = Files.lines(LIMITS)) {
			return lines.filter((line) -> line.startsWith(OPEN_FILES))
				.map((line) -> line.substring(OPEN_FILES.length()).trim().split("\\s+")[0])
				.mapToInt(ConnectionLimit::parse)
				.findFirst()
				.orElse(DEFAULT_DESCRIPTORS);
		}
		catch (IOException ex) {
			logger.warn("cannot read the limit of open files, assuming {}", DEFAULT_DESCRIPTORS, ex);
			return DEFAULT_DESCRIPTORS;
		}
	}

	// The text is "unlimited" or a number that may exceed an int.
	private static int parse(String text) {
		return text.chars().allMatch(Character::isDigit) ? (int) Math.min(Integer.MAX_VALUE, Long.parseLong(text))
				: Integer.MAX_VALUE;
	}

}
