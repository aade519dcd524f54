package io.sequoialink.daemon.host;

import java.time.Duration;
import java.util.Objects;

import io.sequoialink.remote.EngineClient;
import io.sequoialink.remote.HostDirectory;
import io.sequoialink.remote.PlatformLog;
import io.sequoialink.remote.RatingService;
import io.sequoialink.remote.ServiceClient;

/**
 * The clients of all systems outside the fleet. Immutable and thread-safe.
 *
 * @param log the platform's log
 * @param directory the platform's list of backend servers
 * @param ratings the rating service
 * @param engines calls model engines
 * @param services calls plain services
 * @param logRetention how long the log keeps records
 */
public record OutsideSystems(PlatformLog log, HostDirectory directory, RatingService ratings, EngineClient engines,
		ServiceClient services, Duration logRetention) {

	public OutsideSystems {
		Objects.requireNonNull(log, "log");
		Objects.requireNonNull(directory, "directory");
		Objects.requireNonNull(ratings, "ratings");
		Objects.requireNonNull(engines, "engines");
		Objects.requireNonNull(services, "services");
		Objects.requireNonNull(logRetention, "logRetention");
	}

}
