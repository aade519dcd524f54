package io.sequoialink.remote;

import java.io.ByteArrayOutputStream;
import java.io.InputStream;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeoutException;

import io.sequoialink.model.Effect;
import io.sequoialink.model.Json;
import io.servicetalk.context.api.ContextMap;
import io.servicetalk.http.api.BlockingStreamingHttpClient;
import io.servicetalk.http.api.BlockingStreamingHttpRequest;
import io.servicetalk.http.api.BlockingStreamingHttpResponse;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpRequestMetaData;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.transport.api.RetryableException;

/**
 * One HTTP call, described and then sent. Confined to the calling thread, which must not
 * be an I/O thread. Every failure says what the call did at the server.
 */
final class HttpCall {

	/** The largest body that is read into memory, in bytes. */
	static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

	private static final ContextMap.Key<Duration> TIMEOUT = ContextMap.Key.newKey("timeout", Duration.class);

	private static final Duration SHORTEST_TIMEOUT = Duration.ofMillis(1);

	private static final int BUFFER_BYTES = 8192;

	private final HttpAddress address;

	private final BlockingStreamingHttpClient client;

	private final BlockingStreamingHttpRequest request;

	private HttpCall(HttpClientPool pool, HttpAddress address, String method, String target, Duration timeout)
			throws BackendException {
		this.address = address;
		this.client = pool.client(address).asBlockingStreamingClient();
		this.request = this.client.newRequest(methodOf(method), target);
		this.request.context().put(TIMEOUT, (timeout.compareTo(SHORTEST_TIMEOUT) > 0) ? timeout : SHORTEST_TIMEOUT);
	}

	static HttpCall to(HttpClientPool pool, HttpAddress address, String method, String target, Duration timeout)
			throws BackendException {
		return new HttpCall(pool, address, method, target, timeout);
	}

	static Duration timeoutOf(HttpRequestMetaData request) {
		return request.context().get(TIMEOUT);
	}

	HttpCall header(String name, String value) {
		this.request.setHeader(name, value);
		return this;
	}

	HttpCall headers(Map<String, String> headers) {
		headers.forEach(this::header);
		return this;
	}

	HttpCall body(byte[] body) {
		this.request.payloadBody(List.of(this.client.executionContext().bufferAllocator().wrap(body)));
		return header(HttpHeaderNames.CONTENT_LENGTH.toString(), Integer.toString(body.length));
	}

	HttpCall json(Object value) {
		return header("content-type", "application/json").body(Json.write(value).getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Sends the call and reads the whole answer, whatever its status.
	 * @return the answer
	 * @throws BackendException if no whole answer arrived
	 */
	HttpAnswer send() throws BackendException {
		return read(open());
	}

	/**
	 * Sends the call and returns when the head of the answer has arrived.
	 * @return the answer, whose body is still to be read
	 * @throws BackendException if no head arrived, or one that breaks the protocol
	 */
	BlockingStreamingHttpResponse open() throws BackendException {
		try {
			BlockingStreamingHttpResponse response = this.client.request(this.request);
			Optional<String> fault = AnswerHead.fault(response);
			if (fault.isPresent()) {
				response.payloadBody().iterator().close();
				throw new BackendException(BackendException.Kind.INVALID, Effect.UNKNOWN,
						this.address + " answered with " + fault.get());
			}
			return response;
		}
		catch (BackendException ex) {
			throw ex;
		}
		catch (Exception ex) {
			throw failure(ex);
		}
	}

	HttpAnswer read(BlockingStreamingHttpResponse response) throws BackendException {
		try (InputStream body = response.payloadBodyInputStream()) {
			ByteArrayOutputStream bytes = new ByteArrayOutputStream();
			byte[] buffer = new byte[BUFFER_BYTES];
			for (int count = body.read(buffer); count >= 0; count = body.read(buffer)) {
				bytes.write(buffer, 0, count);
				if (bytes.size() > MAX_BODY_BYTES) {
					throw new BackendException(BackendException.Kind.INVALID, Effect.UNKNOWN,
							this.address + " answered with more than " + MAX_BODY_BYTES + " bytes");
				}
			}
			return new HttpAnswer(response.status().code(), header(response, "content-type"),
					header(response, HttpAnswer.EXECUTED), bytes.toByteArray());
		}
		catch (BackendException ex) {
			throw ex;
		}
		catch (Exception ex) {
			throw failure(ex);
		}
	}

	/**
	 * Says how a call failed and what it did. Nothing was sent if no connection opened.
	 * @param cause what the HTTP client threw
	 * @return the typed failure
	 */
	BackendException failure(Throwable cause) {
		if (cause instanceof InterruptedException) {
			Thread.currentThread().interrupt();
			return failure(BackendException.Kind.CANCELLED, Effect.UNKNOWN, "the caller was interrupted", cause);
		}
		if (find(cause, ConnectException.class) || find(cause, RetryableException.class)) {
			return failure(BackendException.Kind.UNREACHABLE, Effect.NONE, "no connection", cause);
		}
		if (find(cause, TimeoutException.class)) {
			return failure(BackendException.Kind.TIMEOUT, Effect.UNKNOWN, "no whole answer in time", cause);
		}
		return failure(BackendException.Kind.CUT_OFF, Effect.UNKNOWN, "the connection broke", cause);
	}

	private BackendException failure(BackendException.Kind kind, Effect effect, String text, Throwable cause) {
		return new BackendException(kind, effect, this.address + ": " + text, cause);
	}

	private static boolean find(Throwable cause, Class<?> type) {
		for (Throwable current = cause; current != null; current = current.getCause()) {
			if (type.isInstance(current)) {
				return true;
			}
		}
		return false;
	}

	private static String header(BlockingStreamingHttpResponse response, String name) {
		return Optional.ofNullable(response.headers().get(name)).map(Objects::toString).orElse("");
	}

	private static HttpRequestMethod methodOf(String name) throws BackendException {
		HttpRequestMethod method = HttpRequestMethod.of(name);
		if (method == null) {
			throw new BackendException(BackendException.Kind.REJECTED, Effect.NONE,
					"HTTP method '" + name + "' is not accepted");
		}
		return method;
	}

}
