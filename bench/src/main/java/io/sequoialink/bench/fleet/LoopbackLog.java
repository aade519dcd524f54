package io.sequoialink.bench.fleet;

import java.io.IOException;
import java.time.Duration;

import io.sequoialink.remote.HttpClientPool;
import io.sequoialink.remote.HttpPlatformLog;
import io.sequoialink.remote.LogStream;
import io.sequoialink.remote.PlatformLog;
import io.sequoialink.standin.StandinLog;

/**
 * The stand-in of the log with an HTTP client on loopback. Thread-safe.
 */
final class LoopbackLog implements AutoCloseable {

	private static final Duration TIMEOUT = Duration.ofSeconds(2);

	private final StandinLog log = new StandinLog(System::currentTimeMillis);

	private final HttpClientPool pool = new HttpClientPool();

	LoopbackLog() throws IOException {
		this.log.start();
	}

	StandinLog standin() {
		return this.log;
	}

	HttpClientPool pool() {
		return this.pool;
	}

	PlatformLog client() {
		return new HttpPlatformLog(this.pool, this.log.address(), TIMEOUT);
	}

	LogStream stream(String name) {
		return client().stream(name);
	}

	@Override
	public void close() {
		this.pool.close();
		this.log.close();
	}

}
