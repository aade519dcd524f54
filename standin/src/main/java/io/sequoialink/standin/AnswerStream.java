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
 * Sends one answer, token by token, with the faults that hit it. Confined to one thread.
 * The text depends on request and version alone, so that another engine can resume it.
 */
final class AnswerStream {

	private static final double NANOS_PER_MILLI = 1e6;

	private final EngineRequest request;

	private final EngineRun run;

	private final String mark;

	private final Predicate<EngineFault> hit;

	private double firstMillis;

	private double betweenMillis;

	private Exchange exchange;

	private HttpPayloadWriter<Buffer> writer;

	private TokenEvent held;

	AnswerStream(EngineRequest request, EngineRun run, String mark, Predicate<EngineFault> hit) {
		this.request = request;
		this.run = run;
		this.mark = mark;
		this.hit = hit;
	}

	void pace(double first, double between) {
		this.firstMillis = first;
		this.betweenMillis = between;
	}

	void send(Exchange target, int promptTokens, int cachedTokens, int answerTokens, String finishReason)
			throws IOException, InterruptedException {
		this.exchange = target;
		double due = System.nanoTime() + this.firstMillis * NANOS_PER_MILLI;
		sleepUntil(due);
		this.writer = target.stream("application/x-ndjson");
		int middle = (this.request.resumeAt() + answerTokens) / 2;
		for (int number = this.request.resumeAt(); number < answerTokens && !this.run.cancelled(); number++) {
			if (number == middle && this.hit.test(EngineFault.CUT)) {
				target.breakConnection();
			}
			if (number == middle && this.hit.test(EngineFault.TRUNCATE)) {
				this.writer.close();
				return;
			}
			token(number);
			due += this.betweenMillis * NANOS_PER_MILLI;
			sleepUntil(due);
		}
		flushHeld();
		if (!this.run.cancelled()) {
			write(new TokenEvent(id(), this.request.attempt(), 0, null, true, promptTokens, cachedTokens, answerTokens,
					finishReason));
			this.run.finish();
		}
		this.writer.close();
	}

	private void token(int number) throws IOException {
		TokenEvent event = TokenEvent.token(id(), this.request.attempt(), number, text(number));
		if (this.hit.test(EngineFault.FOREIGN)) {
			write(TokenEvent.token("foreign-" + number, this.request.attempt(), number, " foreign"));
		}
		if (this.hit.test(EngineFault.LATE)) {
			write(TokenEvent.token(id(), this.request.attempt() - 1, number, " late"));
		}
		if (this.hit.test(EngineFault.REORDER) && this.held == null) {
			this.held = event;
			return;
		}
		write(event);
		if (this.hit.test(EngineFault.DUPLICATE)) {
			write(event);
		}
		flushHeld();
	}

	private void flushHeld() throws IOException {
		if (this.held != null) {
			write(this.held);
			this.held = null;
		}
	}

	private void write(TokenEvent event) throws IOException {
		byte[] line = (Json.write(event) + "\n").getBytes(StandardCharsets.UTF_8);
		this.writer.write(this.exchange.buffer(line));
		this.writer.flush();
		if (!event.end()) {
			this.run.sent();
		}
	}

	private String text(int number) {
		return (number == 0) ? this.mark : " w" + number;
	}

	private String id() {
		return this.request.request().value();
	}

	private static void sleepUntil(double dueNanos) throws InterruptedException {
		long left = (long) dueNanos - System.nanoTime();
		if (left > 0) {
			TimeUnit.NANOSECONDS.sleep(left);
		}
	}

}
