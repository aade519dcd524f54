package io.sequoialink.bench.live;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sequoialink.model.Json;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.BlockingIterator;
import io.servicetalk.http.api.BlockingStreamingHttpClient;
import io.servicetalk.http.api.BlockingStreamingHttpRequest;
import io.servicetalk.http.api.BlockingStreamingHttpResponse;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.netty.HttpClients;

/**
 * A caller of one entry host. Thread-safe; each call blocks its thread.
 */
public final class Caller implements AutoCloseable {

	private final BlockingStreamingHttpClient client;

	public Caller(int port) {
		this.client = HttpClients.forSingleAddress("127.0.0.1", port).buildBlockingStreaming();
	}

	/**
	 * Asks for an answer.
	 * @param key the account's key
	 * @param requestClass the class
	 * @param prompt the prompt
	 * @param maxTokens the most tokens
	 * @param streamed whether the answer is streamed
	 * @param headers more headers
	 * @return what came back
	 */
	public Reply chat(String key, String requestClass, String prompt, int maxTokens, boolean streamed,
			Map<String, String> headers) {
		ObjectNode body = Json.mapper().createObjectNode().put("model", "auto").put("max_tokens", maxTokens);
		body.put("stream", streamed).putArray("messages").addObject().put("role", "user").put("content", prompt);
		Map<String, String> all = new LinkedHashMap<>(headers);
		all.put("authorization", "Bearer " + key);
		all.put("x-sequoialink-class", requestClass);
		return send("POST", "/v1/chat/completions", all, body.toString());
	}

	/**
	 * Calls a plain service.
	 * @param key the account's key
	 * @param service the service
	 * @param idempotencyKey the caller's key
	 * @param body the body
	 * @return what came back
	 */
	public Reply charge(String key, String service, String idempotencyKey, String body) {
		return send("POST", "/services/" + service + "/charges",
				Map.of("authorization", "Bearer " + key, "idempotency-key", idempotencyKey), body);
	}

	/**
	 * Sends any call.
	 * @param method the HTTP method
	 * @param path path and query
	 * @param headers headers
	 * @param body the JSON text, empty for none
	 * @return what came back
	 */
	public Reply send(String method, String path, Map<String, String> headers, String body) {
		long started = System.nanoTime();
		try {
			BlockingStreamingHttpRequest request = this.client.newRequest(HttpRequestMethod.of(method,
					method.equals("GET") ? HttpRequestMethod.GET.properties() : HttpRequestMethod.POST.properties()),
					path);
			headers.forEach(request.headers()::set);
			if (!body.isEmpty()) {
				request.headers().set("content-type", "application/json");
				byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
				request.headers().set("content-length", Integer.toString(bytes.length));
				request.payloadBody(List.of(this.client.executionContext().bufferAllocator().wrap(bytes)));
			}
			return read(this.client.request(request), started);
		}
		catch (Exception ex) {
			return new Reply(0, Map.of(), ex.toString(), -1, millis(started));
		}
	}

	private static Reply read(BlockingStreamingHttpResponse response, long started) throws Exception {
		StringBuilder text = new StringBuilder();
		double firstMillis = -1;
		try (BlockingIterator<Buffer> parts = response.payloadBody().iterator()) {
			while (parts.hasNext()) {
				Buffer part = parts.next();
				if (part.readableBytes() > 0 && firstMillis < 0) {
					firstMillis = millis(started);
				}
				text.append(part.toString(StandardCharsets.UTF_8));
			}
		}
		Map<String, String> headers = new LinkedHashMap<>();
		response.headers()
			.forEach((entry) -> headers.put(entry.getKey().toString().toLowerCase(Locale.ROOT),
					entry.getValue().toString()));
		return new Reply(response.status().code(), headers, text.toString(), firstMillis, millis(started));
	}

	private static double millis(long started) {
		return (System.nanoTime() - started) / (double) Duration.ofMillis(1).toNanos();
	}

	@Override
	public void close() throws Exception {
		this.client.close();
	}

	/**
	 * What came back. Immutable and thread-safe.
	 *
	 * @param status HTTP status, 0 if no whole response arrived
	 * @param headers headers by lower-case name
	 * @param text the whole body
	 * @param firstMillis time to the first byte of the body, -1 if there was none
	 * @param millis time to the end
	 */
	public record Reply(int status, Map<String, String> headers, String text, double firstMillis, double millis) {

		/**
		 * Returns whether a whole answer arrived.
		 * @return whether the status is that of success and a stream has its end marker
		 */
		public boolean answered() {
			boolean stream = this.headers.getOrDefault("content-type", "").startsWith("text/event-stream");
			return this.status >= 200 && this.status < 300 && (!stream || this.text.endsWith("data: [DONE]\n\n"));
		}

		/**
		 * Returns whether a stream ended without its end marker and without an error
		 * event.
		 * @return whether the answer was cut off silently
		 */
		public boolean cutOff() {
			return this.status >= 200 && this.status < 300 && !answered() && !refused();
		}

		/**
		 * Returns whether the router refused the request with an explicit error.
		 * @return whether an error with a code arrived, also as the event that ends a
		 * stream
		 */
		public boolean refused() {
			return !answered() && !error().path("code").asText().isEmpty();
		}

		/**
		 * Returns the error of a refusal.
		 * @return the error object, missing if there is none
		 */
		public JsonNode error() {
			int event = this.text.indexOf("event: error\ndata: ");
			String json = (event >= 0) ? this.text.substring(event + "event: error\ndata: ".length()).strip()
					: this.text;
			try {
				return Json.mapper().readTree(json).path("error");
			}
			catch (IOException ex) {
				return Json.mapper().missingNode();
			}
		}

		/**
		 * Returns the request's identifier.
		 * @return the identifier that the router minted, if a response arrived
		 */
		public Optional<String> request() {
			return Optional.ofNullable(this.headers.get("x-sequoialink-request"));
		}

		/**
		 * Returns a header.
		 * @param name lower-case name
		 * @return its value
		 */
		public Optional<String> header(String name) {
			return Optional.ofNullable(this.headers.get(name));
		}

	}

}
