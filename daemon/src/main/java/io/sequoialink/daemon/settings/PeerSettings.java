package io.sequoialink.daemon.settings;

import java.util.List;

import io.sequoialink.remote.HttpAddress;

/**
 * Where other hosts are met first. Immutable and thread-safe.
 *
 * @param seeds peer ports of some hosts; none for a fleet of one host
 */
public record PeerSettings(List<HttpAddress> seeds) {

	public PeerSettings {
		seeds = List.copyOf(seeds);
	}

}
