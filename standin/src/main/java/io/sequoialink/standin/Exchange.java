package io.sequoialink.standin;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ExecutionException;

import io.sequoialink.model.Json;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.http.api.BlockingStreamingHttpRequest;
import io.servicetalk.http.api.BlockingStreamingHttpServerResponse;
import io.servicetalk.http.api.HttpPayloadWriter;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpServiceContext;

/**
 * One HTTP request at a stand-in and its response. Confined to one thread.
 */
final class Exchange {

	private final HttpServiceContext context;

	private final BlockingStreamingHttpRequest request;

	private final BlockingStreamingHttpServerResponse response;

	private byte[] body;

	Exchange(HttpServiceContext context, BlockingStreamingHttpRequest request,
			BlockingStreamingHttpServerResponse response) {
		this.context = context;
		this.request = request;
		this.response = response;
	}

	String method() {
		return this.request.method().name();
	}

	String path() {
		return this.request.path();
	}

	Optional<String> header(String name) {
		return Optional.ofNullable(this.request.headers().get(name)).map(Objects::toString);
	}

	long query(String name, long absent) {
		return Optional.ofNullable(this.request.queryParameter(name)).map(Long::parseLong).orElse(absent);
	}

	byte[] body() throws IOException {
		if (this.body == null) {
			try (InputStream input = this.request.payloadBodyInputStream()) {
				this.body = input.readAllBytes();
			}
		}
		return this.body;
	}

	<T> T json(Class<T> type) throws IOException {
		return Json.mapper().readValue(body(), type);
	}

	void answer(int status, Object json) throws IOException {
		body();
		byte[] bytes = Json.write(json).getBytes(StandardCharsets.UTF_8);
		this.response.status(HttpResponseStatus.of(status, ""));
		this.response.setHeader("content-type", "application/json");
		this.response.setHeader("content-length", Integer.toString(bytes.length));
		try (HttpPayloadWriter<Buffer> writer = this.response.sendMetaData()) {
			writer.write(buffer(bytes));
		}
	}

	/**
	 * Refuses the request before anything was executed.
	 * @param status the HTTP status
	 * @param reason one sentence
	 * @throws IOException if the caller is gone
	 */
	void refuse(int status, String reason) throws IOException {
		this.response.setHeader("executed", "none");
		answer(status, new Failure("none", reason));
	}

	void fail(int status, String reason) throws IOException {
		answer(status, new Failure("unknown", reason));
	}

	HttpPayloadWriter<Buffer> stream(String contentType) throws IOException {
		body();
		this.response.setHeader("content-type", contentType);
		return this.response.sendMetaData();
	}

	Buffer buffer(byte[] bytes) {
		return this.context.executionContext().bufferAllocator().wrap(bytes);
	}

	/**
	 * Breaks the connection, so that the caller gets no answer or only a part.
	 * @throws IOException always
	 */
	void breakConnection() throws IOException {
		try {
			this.context.closeAsync().toFuture().get();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (ExecutionException ex) {
			throw new IOException(ex);
		}
		throw new IOException("connection broken on purpose");
	}

	/**
	 * The body of a refusal. Immutable and thread-safe.
	 *
	 * @param executed {@code none} or {@code unknown}
	 * @param reason one sentence
	 */
	record Failure(String executed, String reason) {
	}

}
