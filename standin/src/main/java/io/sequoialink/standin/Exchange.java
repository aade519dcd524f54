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
 * One HTTP request to a simulated server and the response to it. Confined to one thread.
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

	long queryParameter(String name, long defaultValue) {
		return Optional.ofNullable(this.request.queryParameter(name)).map(Long::parseLong).orElse(defaultValue);
	}

	byte[] body() throws IOException {
		if (this.body == null) {
			try (InputStream input = this.request.payloadBodyInputStream()) {
				this.body = input.readAllBytes();
			}
		}
		return this.body;
	}

	<T> T readJson(Class<T> type) throws IOException {
		return Json.mapper().readValue(body(), type);
	}

	void respond(int status, Object json) throws IOException {
		body();
		byte[] bytes = Json.write(json).getBytes(StandardCharsets.UTF_8);
		this.response.status(HttpResponseStatus.of(status, ""));
		this.response.setHeader("content-type", "application/json");
		this.response.setHeader("content-length", Integer.toString(bytes.length));
		try (HttpPayloadWriter<Buffer> writer = this.response.sendMetaData()) {
			writer.write(toBuffer(bytes));
		}
	}

	/**
	 * Rejects the request and states in the response that nothing was executed.
	 * @param status the HTTP status
	 * @param reason the reason for the caller, one sentence
	 * @throws IOException if the caller closed the connection
	 */
	void rejectUnexecuted(int status, String reason) throws IOException {
		this.response.setHeader("executed", "none");
		respond(status, new Failure("none", reason));
	}

	/**
	 * Sends an error response which leaves open whether the request was executed.
	 * @param status the HTTP status
	 * @param reason the reason for the caller, one sentence
	 * @throws IOException if the caller closed the connection
	 */
	void respondEffectUnknown(int status, String reason) throws IOException {
		respond(status, new Failure("unknown", reason));
	}

	HttpPayloadWriter<Buffer> startStream(String contentType) throws IOException {
		body();
		this.response.setHeader("content-type", contentType);
		return this.response.sendMetaData();
	}

	Buffer toBuffer(byte[] bytes) {
		return this.context.executionContext().bufferAllocator().wrap(bytes);
	}

	/**
	 * Closes the connection, so that the caller gets no response or only part of one.
	 * @throws IOException always, so that the handling of the request ends
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
		throw new IOException("connection closed by an injected fault");
	}

	/**
	 * JSON body of an error response. Immutable and thread-safe.
	 *
	 * @param executed {@code none} if the request was not executed, {@code unknown} if it
	 * may have been
	 * @param reason the reason, one sentence
	 */
	record Failure(String executed, String reason) {
	}

}
