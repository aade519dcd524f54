package io.sequoialink.remote;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.atomic.LongAdder;

import io.sequoialink.model.BackendServer;
import io.sequoialink.model.Effect;
import io.sequoialink.model.Json;
import io.sequoialink.model.LoadReport;
import io.sequoialink.model.RequestId;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.BlockingIterator;
import io.servicetalk.http.api.BlockingStreamingHttpResponse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Calls to model engines over HTTP. Thread-safe. An answer is whole only if its end
 * marker and every token up to it have arrived.
 */
public final class HttpEngineClient implements EngineClient {

	/** The longest line of an engine's answer, in bytes. */
	public static final int MAX_LINE_BYTES = 64 * 1024;

	private static final Logger LOG = LoggerFactory.getLogger(HttpEngineClient.class);

	private static final int FIRST_ERROR_STATUS = 400;

	private final HttpClientPool pool;

	private final Duration controlTimeout;

	private final LongAdder foreign = new LongAdder();

	private final LongAdder duplicates = new LongAdder();

	private final LongAdder reordered = new LongAdder();

	private final LongAdder truncated = new LongAdder();

	/**
	 * Creates a client.
	 * @param pool the shared HTTP clients
	 * @param controlTimeout the longest time for a cancellation or a load report
	 */
	public HttpEngineClient(HttpClientPool pool, Duration controlTimeout) {
		this.pool = pool;
		this.controlTimeout = controlTimeout;
	}

	@Override
	public EngineResult generate(BackendServer server, EngineRequest request, TokenSink sink) throws BackendException {
		HttpAddress address = addressOf(server);
		HttpCall call = HttpCall.to(this.pool, address, "POST", "/v1/generate", request.timeout()).json(request);
		BlockingStreamingHttpResponse response = call.open();
		if (response.status().code() >= FIRST_ERROR_STATUS) {
			call.read(response).orRefusal(address);
		}
		TokenOrder order = new TokenOrder(request, sink);
		try {
			readTokens(call, response, order);
		}
		catch (CallerGoneException ex) {
			cancelQuietly(server, request);
			throw new BackendException(BackendException.Kind.CANCELLED, Effect.UNKNOWN, ex.getMessage(), ex);
		}
		finally {
			count(server, request, order);
		}
		return resultOf(server, request, order);
	}

	@Override
	public void cancel(BackendServer server, RequestId request, int attempt) throws BackendException {
		HttpCall.to(this.pool, addressOf(server), "POST", "/v1/cancel", this.controlTimeout)
			.json(new Cancellation(request, attempt))
			.send()
			.orRefusal(addressOf(server));
	}

	@Override
	public LoadReport load(BackendServer server) throws BackendException {
		return HttpCall.to(this.pool, addressOf(server), "GET", "/v1/load", this.controlTimeout)
			.send()
			.orRefusal(addressOf(server))
			.as(LoadReport.class);
	}

	/**
	 * Returns what was wrong with the answers so far.
	 * @return counts since the start
	 */
	public Irregularities irregularities() {
		return new Irregularities(this.foreign.sum(), this.duplicates.sum(), this.reordered.sum(),
				this.truncated.sum());
	}

	private void readTokens(HttpCall call, BlockingStreamingHttpResponse response, TokenOrder order)
			throws BackendException, CallerGoneException {
		try (BlockingIterator<Buffer> body = response.payloadBody().iterator()) {
			LineReader lines = new LineReader(body, MAX_LINE_BYTES);
			for (byte[] line = lines.next(); line != null && !order.whole(); line = lines.next()) {
				order.accept(parse(line));
			}
		}
		catch (BackendException | CallerGoneException ex) {
			throw ex;
		}
		catch (Exception ex) {
			if (!order.whole()) {
				throw call.failure(ex);
			}
		}
	}

	private static TokenEvent parse(byte[] line) throws BackendException {
		try {
			return Json.mapper().readValue(line, TokenEvent.class);
		}
		catch (IOException ex) {
			throw new BackendException(BackendException.Kind.INVALID, Effect.UNKNOWN,
					"a line of the answer is no token event", ex);
		}
	}

	private EngineResult resultOf(BackendServer server, EngineRequest request, TokenOrder order)
			throws BackendException {
		if (order.whole()) {
			return order.result();
		}
		this.truncated.increment();
		LOG.warn(RemoteEvents.ANSWER_TRUNCATED, server.id(), request.request(), order.next(), order.expected());
		throw new BackendException(BackendException.Kind.CUT_OFF, Effect.UNKNOWN,
				server.id() + " ended its answer to " + request.request() + " after " + order.next() + " tokens");
	}

	private void count(BackendServer server, EngineRequest request, TokenOrder order) {
		this.foreign.add(order.foreign());
		this.duplicates.add(order.duplicates());
		this.reordered.add(order.reordered());
		if (order.foreign() + order.duplicates() > 0) {
			LOG.warn(RemoteEvents.TOKENS_DROPPED, server.id(), order.foreign(), order.duplicates(), request.request());
		}
	}

	private void cancelQuietly(BackendServer server, EngineRequest request) {
		try {
			cancel(server, request.request(), request.attempt());
		}
		catch (BackendException ex) {
			LOG.info(RemoteEvents.CANCEL_FAILED, request.request(), server.id(), ex.getMessage());
		}
	}

	private static HttpAddress addressOf(BackendServer server) {
		return new HttpAddress(server.ip(), server.port());
	}

	/**
	 * What was wrong with answers. Immutable and thread-safe.
	 *
	 * @param foreign tokens of other requests or attempts, dropped
	 * @param duplicates tokens that came twice, dropped
	 * @param reordered tokens that came before an earlier one, put in order
	 * @param truncated answers that ended without all tokens, reported as cut off
	 */
	public record Irregularities(long foreign, long duplicates, long reordered, long truncated) {
	}

	/**
	 * What a cancellation sends. Immutable and thread-safe.
	 *
	 * @param request the request
	 * @param attempt its attempt
	 */
	record Cancellation(RequestId request, int attempt) {
	}

}
