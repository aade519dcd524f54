package io.sequoialink.remote;

import java.io.IOException;
import java.time.Duration;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import io.sequoialink.model.Effect;
import io.sequoialink.model.Identifiers;
import io.sequoialink.model.Json;

/**
 * The platform log over HTTP. Immutable and thread-safe. No call is repeated here: an
 * append without an answer is reported as unknown.
 */
public final class HttpPlatformLog implements PlatformLog {

	private static final int GONE = 410;

	private final HttpClientPool pool;

	private final HttpAddress address;

	private final Duration timeout;

	/**
	 * Creates a client of the log.
	 * @param pool the shared HTTP clients
	 * @param address the log's address
	 * @param timeout the longest time for one call
	 */
	public HttpPlatformLog(HttpClientPool pool, HttpAddress address, Duration timeout) {
		this.pool = pool;
		this.address = address;
		this.timeout = timeout;
	}

	@Override
	public LogStream stream(String name) {
		return new HttpLogStream("/v1/streams/" + Identifiers.check("stream", name));
	}

	private HttpAnswer get(String target) throws LogUnavailableException {
		try {
			return HttpCall.to(this.pool, this.address, "GET", target, this.timeout).send();
		}
		catch (BackendException ex) {
			throw new LogUnavailableException("the log did not answer: " + ex.getMessage(), ex);
		}
	}

	/**
	 * What an append answers. Immutable and thread-safe.
	 *
	 * @param offset the offset of the first record
	 */
	record Appended(long offset) {
	}

	/**
	 * What an append sends. Immutable by convention.
	 *
	 * @param payloads the records
	 */
	record Append(List<byte[]> payloads) {
	}

	/**
	 * What a read answers. Immutable and thread-safe.
	 *
	 * @param records the records
	 */
	record Page(List<LogRecord> records) {
	}

	/**
	 * One stream of the log. Immutable and thread-safe.
	 */
	private final class HttpLogStream implements LogStream {

		private final String path;

		private HttpLogStream(String path) {
			this.path = path;
		}

		@Override
		public long append(List<byte[]> payloads) throws LogUnavailableException, AppendUnknownException {
			try {
				return HttpCall
					.to(HttpPlatformLog.this.pool, HttpPlatformLog.this.address, "POST", this.path,
							HttpPlatformLog.this.timeout)
					.json(new Append(payloads))
					.send()
					.orRefusal(HttpPlatformLog.this.address)
					.as(Appended.class)
					.offset();
			}
			catch (BackendException ex) {
				if (ex.effect() == Effect.NONE) {
					throw new LogUnavailableException("nothing was appended: " + ex.getMessage(), ex);
				}
				throw new AppendUnknownException("the append may have taken effect: " + ex.getMessage(), ex);
			}
		}

		@Override
		public List<LogRecord> read(long fromOffset, int maxRecords) throws LogUnavailableException, TrimmedException {
			HttpAnswer answer = get(this.path + "?from=" + fromOffset + "&max=" + maxRecords);
			JsonNode json = body(answer);
			if (answer.status() == GONE) {
				throw new TrimmedException(fromOffset, json.path("first").asLong());
			}
			return value(answer, json, Page.class).records();
		}

		@Override
		public Bounds bounds() throws LogUnavailableException {
			HttpAnswer answer = get(this.path + "/bounds");
			return value(answer, body(answer), Bounds.class);
		}

		private JsonNode body(HttpAnswer answer) throws LogUnavailableException {
			try {
				return answer.json();
			}
			catch (BackendException ex) {
				throw new LogUnavailableException("the log's answer can't be read: " + ex.getMessage(), ex);
			}
		}

		private <T> T value(HttpAnswer answer, JsonNode json, Class<T> type) throws LogUnavailableException {
			try {
				answer.orRefusal(HttpPlatformLog.this.address);
				return Json.mapper().treeToValue(json, type);
			}
			catch (IOException | BackendException ex) {
				throw new LogUnavailableException("the log did not answer: " + ex.getMessage(), ex);
			}
		}

	}

}
