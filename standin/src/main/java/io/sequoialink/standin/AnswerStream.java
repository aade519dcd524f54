package io.sequoialink.standin;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import io.sequoialink.model.Json;
import io.sequoialink.remote.EngineClient.EngineRequest;
import io.sequoialink.remote.TokenEvent;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.http.api.HttpPayloadWriter;

/**
 * Streams one model answer token by token and injects the faults that were chosen for it
 * at random. Confined to one thread. The text depends only on the request and the
 * version, so another engine that serves the version can resume the answer after any
 * token.
 */
final class AnswerStream {

	private static final double NANOS_PER_MILLI = 1e6;

	private final EngineRequest request;

	private final EngineRun run;

	private final String qualityMarker;

	private final Predicate<EngineFault> faultApplies;

	private double firstTokenDelayMillis;

	private double tokenIntervalMillis;

	private Exchange exchange;

	private HttpPayloadWriter<Buffer> writer;

	private TokenEvent delayedToken;

	AnswerStream(EngineRequest request, EngineRun run, String qualityMarker, Predicate<EngineFault> faultApplies) {
		this.request = request;
		this.run = run;
		this.qualityMarker = qualityMarker;
		this.faultApplies = faultApplies;
	}

	void setTiming(double firstTokenMillis, double intervalMillis) {
		this.firstTokenDelayMillis = firstTokenMillis;
		this.tokenIntervalMillis = intervalMillis;
	}

	void send(Exchange responseExchange, int promptTokens, int cachedTokens, int answerTokens, String finishReason)
			throws IOException, InterruptedException {
		this.exchange = responseExchange;
		double dueNanos = System.nanoTime() + this.firstTokenDelayMillis * NANOS_PER_MILLI;
		sleepUntil(dueNanos);
		this.writer = responseExchange.startStream("application/x-ndjson");
		int middle = (this.request.resumeAt() + answerTokens) / 2;
		for (int number = this.request.resumeAt(); number < answerTokens && !this.run.cancelled(); number++) {
			if (number == middle && this.faultApplies.test(EngineFault.CUT)) {
				responseExchange.breakConnection();
			}
			if (number == middle && this.faultApplies.test(EngineFault.TRUNCATE)) {
				this.writer.close();
				return;
			}
			sendToken(number);
			dueNanos += this.tokenIntervalMillis * NANOS_PER_MILLI;
			sleepUntil(dueNanos);
		}
		sendDelayedToken();
		if (!this.run.cancelled()) {
			write(new TokenEvent(requestId(), this.request.attempt(), 0, null, true, promptTokens, cachedTokens,
					answerTokens, finishReason));
			this.run.markCompleted();
		}
		this.writer.close();
	}

	private void sendToken(int number) throws IOException {
		TokenEvent event = TokenEvent.token(requestId(), this.request.attempt(), number, tokenText(number));
		if (this.faultApplies.test(EngineFault.FOREIGN)) {
			write(TokenEvent.token("foreign-" + number, this.request.attempt(), number, " foreign"));
		}
		if (this.faultApplies.test(EngineFault.LATE)) {
			write(TokenEvent.token(requestId(), this.request.attempt() - 1, number, " late"));
		}
		if (this.faultApplies.test(EngineFault.REORDER) && this.delayedToken == null) {
			this.delayedToken = event;
			return;
		}
		write(event);
		if (this.faultApplies.test(EngineFault.DUPLICATE)) {
			write(event);
		}
		sendDelayedToken();
	}

	private void sendDelayedToken() throws IOException {
		if (this.delayedToken != null) {
			write(this.delayedToken);
			this.delayedToken = null;
		}
	}

	private void write(TokenEvent event) throws IOException {
		byte[] line = (Json.write(event) + "\n").getBytes(StandardCharsets.UTF_8);
		this.writer.write(this.exchange.toBuffer(line));
		this.writer.flush();
		if (!event.end()) {
			this.run.recordToken();
		}
	}

	private String tokenText(int number) {
		return (number == 0) ? this.qualityMarker : " w" + number;
	}

	private String requestId() {
		return this.request.request().value();
	}

	private static void sleepUntil(double dueNanos) throws InterruptedException {
		long remainingNanos = (long) dueNanos - System.nanoTime();
		if (remainingNanos > 0) {
			TimeUnit.NANOSECONDS.sleep(remainingNanos);
		}
	}

}
