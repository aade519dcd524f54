package io.sequoialink.daemon.settings;

import java.time.Duration;

import jakarta.validation.constraints.Pattern;

/**
 * What this host is. Immutable and thread-safe.
 *
 * @param id the host's identifier, unique in the fleet
 * @param zone its availability zone
 * @param ip numeric address of its ports
 * @param httpPort port for callers and operators
 * @param peerPort port for peers
 * @param drainLimit the longest time that a stop waits for requests in progress
 */
public record HostSettings(
		@Pattern(regexp = HostSettings.IDENTIFIER, message = HostSettings.IDENTIFIER_ACCEPTED) String id,
		@Pattern(regexp = HostSettings.IDENTIFIER, message = HostSettings.IDENTIFIER_ACCEPTED) String zone,
		@Pattern(regexp = "[0-9]{1,3}(\\.[0-9]{1,3}){3}|[0-9A-Fa-f:.]*:[0-9A-Fa-f:.]*",
				message = "a numeric address, as 10.0.0.1") String ip,
		@Within(min = "1", max = "65535") int httpPort, @Within(min = "1", max = "65535") int peerPort,
		@Default("30s") @Within(min = "0s", max = "1h") Duration drainLimit) {

	static final String IDENTIFIER = "[A-Za-z0-9._:-]{1,128}";

	static final String IDENTIFIER_ACCEPTED = "1 to 128 letters, digits, dots, dashes, colons or underscores";

}
