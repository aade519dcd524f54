package io.sequoialink.gateway.http;

import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.sequoialink.gateway.flow.RequestFlow;

/**
 * Forwards the successful response of one request to its client. Confined to the event
 * loop.
 */
final class ResponseForwarding {

	private static final double NANOS_PER_MILLI = 1_000_000.0;

	private final Exchange exchange;

	private final ClientConnection client;

	private final RequestFlow flow;

	private final CrashingRequestCheck crashCheck;

	private final ModelChoice modelChoice;

	private final RequestDispatcher dispatcher;

	private final ForwardedStream stream;

	/**
	 * Creates a forwarding that has forwarded nothing.
	 * @param exchange the request
	 * @param client the client's connection
	 * @param flow state of the request
	 * @param crashCheck is told that the request is harmless
	 * @param modelChoice is told of the first part
	 * @param dispatcher is told how far a stream has got
	 * @param resumed whether the client resumes a stream
	 */
	ResponseForwarding(Exchange exchange, ClientConnection client, RequestFlow flow, CrashingRequestCheck crashCheck,
			ModelChoice modelChoice, RequestDispatcher dispatcher, boolean resumed) {
		this.exchange = exchange;
		this.client = client;
		this.flow = flow;
		this.crashCheck = crashCheck;
		this.modelChoice = modelChoice;
		this.dispatcher = dispatcher;
		this.stream = new ForwardedStream(client, dispatcher::eventForwarded, resumed);
	}

	/**
	 * Returns what the client has received of the response, if it is a stream.
	 * @return the stream
	 */
	ForwardedStream stream() {
		return this.stream;
	}

	/**
	 * Forwards a complete response, which ends the request.
	 * @param status status code
	 * @param headers headers of the response
	 * @param body the body; ownership passes to the client's connection
	 */
	void forwardResponse(int status, HttpHeaders headers, ByteBuf body) {
		this.flow.forwardingStarted();
		this.flow.forwardingCompleted();
		this.crashCheck.recordHarmless();
		recordFirstByte();
		this.client.sendResponse(status, HopByHopHeaders.strip(headers), body);
		this.exchange.answered(status);
	}

	private void recordFirstByte() {
		double millis = (this.exchange.now() - this.exchange.receivedNanos()) / NANOS_PER_MILLI;
		this.exchange.gateway().metrics().firstPartTimes().add(this.exchange.routeLabel(), millis);
	}

	/**
	 * Forwards complete events of a stream.
	 * @param status status code
	 * @param headers headers of the response
	 * @param events the events; ownership passes to the client's connection
	 * @param lastId id of the last of them
	 * @param attempt the attempt that received them; paused if the client does not read
	 */
	void forwardEvents(int status, HttpHeaders headers, ByteBuf events, Optional<String> lastId,
			BackendAttempt attempt) {
		if (!this.flow.clientHasPart()) {
			this.flow.forwardingStarted();
			this.modelChoice.recordFirstByte();
			recordFirstByte();
			this.stream.begin(status, headers);
		}
		lastId.ifPresent(this.stream::eventForwarded);
		this.dispatcher.refreshSession(attempt.server());
		if (attempt.provenHarmless()) {
			this.crashCheck.recordHarmless();
		}
		if (!this.client.sendChunk(events)) {
			attempt.setReading(false);
		}
	}

	/**
	 * Ends a stream whose last event has been forwarded. A resumed stream may have no
	 * further events.
	 * @param status status code
	 * @param headers headers of the response
	 */
	void endStream(int status, HttpHeaders headers) {
		if (!this.flow.clientHasPart()) {
			this.flow.forwardingStarted();
			this.stream.begin(status, headers);
		}
		this.flow.forwardingCompleted();
		this.crashCheck.recordHarmless();
		this.client.endResponse();
		this.exchange.answered(200);
	}

}
