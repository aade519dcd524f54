package io.sequoialink.gateway.http;

import java.util.Optional;
import java.util.function.Consumer;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * What a client has received of a stream, over all attempts. Confined to the event loop.
 */
final class ForwardedStream {

	private final ClientConnection client;

	private final Consumer<String> eventListener;

	private final boolean resumedByClient;

	private Optional<StreamContinuation> part = Optional.empty();

	private int emptyStreams;

	/**
	 * Creates a stream of which the client has received nothing.
	 * @param client connection of the client
	 * @param eventListener receives the id of the last event that was forwarded
	 * @param resumedByClient whether the client has a part from an earlier response
	 */
	ForwardedStream(ClientConnection client, Consumer<String> eventListener, boolean resumedByClient) {
		this.client = client;
		this.eventListener = eventListener;
		this.resumedByClient = resumedByClient;
	}

	/**
	 * Sends the head of the response to the client.
	 * @param status status code
	 * @param headers headers of the server's response
	 */
	void begin(int status, HttpHeaders headers) {
		this.part = Optional
			.of(new StreamContinuation(status, StreamContinuation.contentType(headers), Optional.empty()));
		this.client.sendHead(status, HopByHopHeaders.strip(headers));
	}

	/**
	 * Records that events are forwarded.
	 * @param id id of the last of them
	 */
	void eventForwarded(String id) {
		this.eventListener.accept(id);
		this.part = this.part
			.map((before) -> new StreamContinuation(before.status(), before.contentType(), Optional.of(id)));
	}

	/**
	 * Returns what another server has to go on with.
	 * @return the part, empty if the client has received nothing
	 */
	Optional<StreamContinuation> part() {
		return this.part;
	}

	/**
	 * Called when a stream has ended with its connection before any event. A resumed
	 * stream may have none left, or its server may have died; it is complete if a second
	 * server ends it likewise.
	 * @return whether the stream is complete
	 */
	boolean acceptsEmpty() {
		boolean resumed = this.part.isPresent() || this.resumedByClient;
		this.emptyStreams++;
		return resumed && this.emptyStreams > 1;
	}

}
