package io.sequoialink.daemon.settings;

import java.time.Duration;

import io.sequoialink.remote.HttpAddress;

/**
 * Where the platform's services are. Immutable and thread-safe.
 *
 * @param log the append-only log
 * @param directory the list of backend servers
 * @param rating the rating service
 * @param connectTimeout the longest time for a connection to open
 * @param callTimeout the longest time for one call to the log or the list
 * @param ratingTimeout the longest wait for one rating
 * @param logRetention how long the log keeps records
 */
public record PlatformSettings(HttpAddress log, HttpAddress directory, HttpAddress rating,
		@Default("500ms") @Within(min = "10ms", max = "10s") Duration connectTimeout,
		@Default("2s") @Within(min = "50ms", max = "1m") Duration callTimeout,
		@Default("10s") @Within(min = "50ms", max = "5m") Duration ratingTimeout,
		@Default("24h") @Within(min = "1h", max = "8760h") Duration logRetention) {
}
