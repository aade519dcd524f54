package io.sequoialink.daemon.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.sequoialink.model.Json;
import io.sequoialink.model.Refusal;
import io.sequoialink.model.RefusalCode;
import io.sequoialink.model.RequestId;
import io.sequoialink.remote.CallerGoneException;
import io.sequoialink.router.RefusedException;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.BlockingIterator;
import io.servicetalk.http.api.BlockingStreamingHttpRequest;
import io.servicetalk.http.api.BlockingStreamingHttpServerResponse;
import io.servicetalk.http.api.HttpPayloadWriter;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpServiceContext;

/**
 * One HTTP request with its response. Confined to its worker thread; the response is
 * begun at most once.
 */
final class Exchange {

	static final String REQUEST_HEADER = "x-sequoialink-request";

	private static final String JSON_TYPE = "application/json";

	private final HttpServiceContext context;

	private final BlockingStreamingHttpRequest request;

	private final BlockingStreamingHttpServerResponse response;

	private final RequestId id;

	private HttpPayloadWriter<Buffer> writer;

	Exchange(HttpServiceContext context, BlockingStreamingHttpRequest request,
			BlockingStreamingHttpServerResponse response, RequestId id) {
		this.context = context;
		this.request = request;
		this.response = response;
		this.id = id;
	}

	RequestId id() {
		return this.id;
	}

	BlockingStreamingHttpRequest request() {
		return this.request;
	}

	String method() {
		return this.request.method().name();
	}

	String path() {
		return this.request.path();
	}

	boolean begun() {
		return this.writer != null;
	}

	/**
	 * Reads the whole body.
	 * @param limits the bounds
	 * @return the body
	 * @throws RefusedException if the body is too large, too slow or cut off
	 */
	byte[] body(HttpLimits limits) throws RefusedException {
		Buffer whole = this.context.executionContext().bufferAllocator().newBuffer();
		long end = System.nanoTime() + limits.bodyTimeout().toNanos();
		try (BlockingIterator<Buffer> parts = this.request.payloadBody().iterator()) {
			while (parts.hasNext(Math.max(1, end - System.nanoTime()), TimeUnit.NANOSECONDS)) {
				Buffer part = parts.next();
				if (whole.readableBytes() + part.readableBytes() > limits.maxBodyBytes()) {
					throw CallerHeaders.refuse(RefusalCode.TOO_LARGE,
							"the body is larger than " + limits.maxBodyBytes() + " bytes");
				}
				whole.writeBytes(part);
			}
		}
		catch (TimeoutException ex) {
			throw CallerHeaders.refuse(RefusalCode.BAD_REQUEST,
					"the body did not arrive within " + limits.bodyTimeout().toMillis() + " ms");
		}
		catch (RefusedException ex) {
			throw ex;
		}
		catch (Exception ex) {
			throw CallerHeaders.refuse(RefusalCode.BAD_REQUEST, "the body was cut off");
		}
		byte[] bytes = new byte[whole.readableBytes()];
		whole.readBytes(bytes);
		return bytes;
	}

	void requireJson() throws RefusedException {
		CharSequence type = this.request.headers().get("content-type");
		if (type == null || !type.toString().toLowerCase(Locale.ROOT).startsWith(JSON_TYPE)) {
			throw CallerHeaders.refuse(RefusalCode.UNSUPPORTED_MEDIA_TYPE, "the content type must be " + JSON_TYPE);
		}
	}

	void header(String name, String value) {
		this.response.headers().set(name, value);
	}

	void json(int status, Object value) throws IOException {
		whole(status, JSON_TYPE, Json.write(value).getBytes(StandardCharsets.UTF_8));
	}

	void whole(int status, String contentType, byte[] body) throws IOException {
		begin(status, contentType, Map.of("content-length", Integer.toString(body.length)));
		this.writer.write(buffer(body));
		this.writer.close();
	}

	void begin(int status, String contentType, Map<String, String> headers) {
		this.response.status(HttpResponseStatus.of(status, ""));
		this.response.headers().set("content-type", contentType);
		this.response.headers().set(REQUEST_HEADER, this.id.value());
		headers.forEach((name, value) -> this.response.headers().set(name, value));
		this.writer = this.response.sendMetaData();
	}

	void write(String text) throws CallerGoneException {
		try {
			this.writer.write(buffer(text.getBytes(StandardCharsets.UTF_8)));
			this.writer.flush();
		}
		catch (IOException ex) {
			throw new CallerGoneException("the caller closed its connection", ex);
		}
	}

	void end() throws IOException {
		this.writer.close();
	}

	void refuse(Refusal refusal) throws IOException {
		refusal.retryAfter()
			.ifPresent((delay) -> header("retry-after", Long.toString(Math.max(1, (delay.toMillis() + 999) / 1000))));
		if (refusal.code() == RefusalCode.TOO_LARGE || refusal.code() == RefusalCode.BAD_REQUEST) {
			header("connection", "close");
		}
		json(refusal.code().status(), ErrorBody.of(this.id, refusal));
	}

	private Buffer buffer(byte[] bytes) {
		return this.context.executionContext().bufferAllocator().wrap(bytes);
	}

}
