package io.sequoialink.remote;

import java.util.Optional;
import java.util.TreeMap;

import io.sequoialink.model.Effect;
import io.sequoialink.remote.EngineClient.EngineRequest;
import io.sequoialink.remote.EngineClient.EngineResult;
import io.sequoialink.remote.EngineClient.TokenSink;

/**
 * Puts the tokens of one answer in order. Confined to one thread. The sink sees each
 * number once, without a gap; tokens of other requests or attempts never reach it. At
 * most {@link #MAX_HELD} tokens are held back.
 */
final class TokenOrder {

	/** The most tokens that may arrive before an earlier one. */
	static final int MAX_HELD = 256;

	private final EngineRequest request;

	private final TokenSink sink;

	private final TreeMap<Integer, String> held = new TreeMap<>();

	private int next;

	private int foreign;

	private int duplicates;

	private int reordered;

	private TokenEvent end;

	TokenOrder(EngineRequest request, TokenSink sink) {
		this.request = request;
		this.sink = sink;
		this.next = request.resumeAt();
	}

	void accept(TokenEvent event) throws CallerGoneException, BackendException {
		if (!this.request.request().value().equals(event.request()) || this.request.attempt() != event.attempt()) {
			this.foreign++;
		}
		else if (event.end()) {
			this.end = event;
		}
		else if (event.text() == null || event.number() < this.next || this.held.containsKey(event.number())) {
			this.duplicates++;
		}
		else {
			hold(event);
			deliver();
		}
	}

	/**
	 * Returns whether the end marker and every token up to it have arrived.
	 * @return {@code true} if the answer is whole
	 */
	boolean whole() {
		return this.end != null && this.next == this.end.answerTokens() && this.held.isEmpty();
	}

	EngineResult result() {
		return new EngineResult(this.end.promptTokens(), this.end.cachedTokens(), this.end.answerTokens(),
				Optional.ofNullable(this.end.finishReason()));
	}

	int next() {
		return this.next;
	}

	int expected() {
		return (this.end != null) ? this.end.answerTokens() : -1;
	}

	int foreign() {
		return this.foreign;
	}

	int duplicates() {
		return this.duplicates;
	}

	int reordered() {
		return this.reordered;
	}

	private void hold(TokenEvent event) throws BackendException {
		if (event.number() > this.next) {
			this.reordered++;
		}
		if (this.held.size() >= MAX_HELD) {
			throw new BackendException(BackendException.Kind.INVALID, Effect.UNKNOWN,
					"token " + this.next + " is missing after " + MAX_HELD + " later ones");
		}
		this.held.put(event.number(), event.text());
	}

	private void deliver() throws CallerGoneException {
		for (String text = this.held.remove(this.next); text != null; text = this.held.remove(this.next)) {
			this.sink.token(this.next, text);
			this.next++;
		}
	}

}
