package io.sequoialink.daemon.settings;

/**
 * The settings of one entry host. Immutable and thread-safe; valid as a whole.
 *
 * @param host what this host is
 * @param platform where the platform's services are
 * @param peers where other hosts are met
 * @param keys secrets that hosts share
 * @param input bounds on callers
 * @param logging how logs are written
 * @param policy parameters of all policies
 */
public record Settings(HostSettings host, PlatformSettings platform, PeerSettings peers, KeySettings keys,
		InputSettings input, LoggingSettings logging, PolicySettings policy) {
}
