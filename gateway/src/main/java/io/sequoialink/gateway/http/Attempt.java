package io.sequoialink.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.sequoialink.gateway.GatewayEvents;
import io.sequoialink.gateway.place.ServerState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One send of a request to one backend server: judges the answer and tells the exchange.
 * Confined to the event loop; tells the exchange one end at most.
 */
final class Attempt implements BackendListener {

	private static final Logger logger = LoggerFactory.getLogger(Attempt.class);

	/** Most bytes of an answer that is handed on as a whole. */
	private static final int MAX_WHOLE_BYTES = 8 << 20;

	private static final int MISDIRECTED = 421;

	private enum Verdict {

		NONE, NOT_RUN, FAILURE, SUCCESS

	}

	private final Exchange exchange;

	private final ServerState server;

	private final long begun;

	private BackendSend send;

	private Verdict verdict = Verdict.NONE;

	private int status;

	private HttpHeaders headers;

	private CompositeByteBuf whole;

	private EventSplitter events;

	private boolean over;

	Attempt(Exchange exchange, ServerState server) {
		this.exchange = exchange;
		this.server = server;
		this.begun = exchange.now();
	}

	void begin(BackendSend sending) {
		this.send = sending;
		this.server.sent();
	}

	String serverId() {
		return this.server.entry().id();
	}

	void read(boolean wanted) {
		this.send.read(wanted);
	}

	@Override
	public void written() {
		// the answer's deadline runs from the request's receipt, not from here
	}

	@Override
	public void head(int answered, HttpHeaders answerHeaders, AnswerFacts facts) {
		this.status = answered;
		this.headers = answerHeaders;
		facts.load().ifPresent((load) -> this.server.report(load.running(), load.waiting(), this.exchange.now()));
		this.verdict = judge(answered, answerHeaders, facts);
		if (this.verdict == Verdict.NONE) {
			breakOff("answer without signature, status " + answered);
			return;
		}
		if (this.verdict == Verdict.SUCCESS && this.exchange.streaming()) {
			this.events = new EventSplitter();
		}
		else {
			this.whole = Unpooled.compositeBuffer(1024);
		}
	}

	private static Verdict judge(int answered, HttpHeaders answerHeaders, AnswerFacts facts) {
		if (facts.notExecuted() || answered == MISDIRECTED) {
			return Verdict.NOT_RUN;
		}
		if (!facts.sealed() || answerHeaders.contains(HttpHeaderNames.CONTENT_ENCODING)) {
			return Verdict.NONE;
		}
		return (answered >= 200 && answered < 300) ? Verdict.SUCCESS : Verdict.FAILURE;
	}

	@Override
	public void data(ByteBuf data) {
		if (this.over) {
			data.release();
			return;
		}
		if (this.events == null) {
			this.whole.addComponent(true, data);
			if (this.whole.readableBytes() > MAX_WHOLE_BYTES) {
				breakOff("answer too long");
			}
			return;
		}
		ByteBuf ready = this.events.take(data);
		if (this.events.overflown()) {
			ready.release();
			breakOff("event too long");
			return;
		}
		if (ready.isReadable()) {
			this.exchange.passEvents(this.status, this.headers, ready, this.events.lastId());
		}
	}

	@Override
	public void ended() {
		if (this.over) {
			return;
		}
		if (this.events != null && this.events.unfinished()) {
			breakOff("stream ended within an event");
			return;
		}
		finish();
		switch (this.verdict) {
			case NOT_RUN -> {
				this.whole.release();
				note("not run, status " + this.status);
				this.exchange.notRun();
			}
			case FAILURE -> {
				note("failed with status " + this.status);
				markFailed("status " + this.status);
				this.exchange.failed(new KeptFailure(this.status, this.headers, this.whole));
			}
			case SUCCESS -> succeed();
			case NONE -> this.exchange.broken();
		}
	}

	private void succeed() {
		this.server.succeeded();
		if (this.events == null) {
			this.exchange.passWhole(this.status, this.headers, this.whole);
			return;
		}
		this.exchange.passEnd();
	}

	@Override
	public void lost(SendLoss loss) {
		if (this.over) {
			return;
		}
		boolean statedNotRun = this.verdict == Verdict.NOT_RUN;
		finish();
		dropBuffers();
		note(loss.toString());
		markFailed(loss.toString());
		if (loss == SendLoss.NOT_CONNECTED || statedNotRun) {
			this.exchange.notRun();
		}
		else {
			this.exchange.broken();
		}
	}

	private void breakOff(String why) {
		finish();
		dropBuffers();
		note(why);
		markFailed(why);
		this.send.cancel();
		this.exchange.broken();
	}

	private void markFailed(String why) {
		if (this.server.failed(this.exchange.now())) {
			logger.info(GatewayEvents.SERVER_AVOIDED, serverId(), why);
		}
	}

	private void note(String how) {
		logger.info(GatewayEvents.SEND_ENDED, this.exchange.id(), this.exchange.attempts(), serverId(), how,
				Exchange.millis(this.exchange.now() - this.begun));
	}

	/**
	 * Ends the send without telling the exchange.
	 */
	void cancel() {
		if (this.over) {
			return;
		}
		finish();
		dropBuffers();
		this.send.cancel();
	}

	private void finish() {
		this.over = true;
		this.server.ended();
	}

	private void dropBuffers() {
		if (this.whole != null) {
			this.whole.release();
			this.whole = null;
		}
		if (this.events != null) {
			this.events.release();
		}
	}

}
