package io.sequoialink.remote;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

import com.fasterxml.jackson.databind.JsonNode;
import io.sequoialink.model.Effect;
import io.sequoialink.model.Json;

/**
 * A whole HTTP response. Immutable by convention: the body is never written.
 *
 * @param status HTTP status
 * @param contentType the content type, or empty text
 * @param executed value of the header {@link #EXECUTED}, or empty text
 * @param body the body
 */
record HttpAnswer(int status, String contentType, String executed, byte[] body) {

	/** The header and JSON field by which a server tells what a refused call did. */
	static final String EXECUTED = "executed";

	private static final int FIRST_ERROR_STATUS = 400;

	private static final int MAX_QUOTED_CHARS = 200;

	boolean ok() {
		return this.status < FIRST_ERROR_STATUS;
	}

	Effect effect() {
		String told = this.executed.isEmpty() ? executedInBody() : this.executed;
		return Effect.NONE.name().equals(told.toUpperCase(Locale.ROOT)) ? Effect.NONE : Effect.UNKNOWN;
	}

	JsonNode json() throws BackendException {
		try {
			return Json.mapper().readTree(this.body);
		}
		catch (IOException ex) {
			throw new BackendException(BackendException.Kind.INVALID, Effect.UNKNOWN,
					"the answer is no JSON: " + quoted(), ex);
		}
	}

	<T> T as(Class<T> type) throws BackendException {
		try {
			return Json.mapper().readValue(this.body, type);
		}
		catch (IOException ex) {
			throw new BackendException(BackendException.Kind.INVALID, Effect.UNKNOWN,
					"the answer is no " + type.getSimpleName() + ": " + quoted(), ex);
		}
	}

	HttpAnswer orRefusal(HttpAddress address) throws BackendException {
		if (ok()) {
			return this;
		}
		Effect effect = effect();
		BackendException.Kind kind = (effect == Effect.NONE) ? BackendException.Kind.REJECTED
				: BackendException.Kind.FAILED;
		throw new BackendException(kind, effect, address + " answered with status " + this.status + ": " + quoted());
	}

	private String executedInBody() {
		try {
			return Json.mapper().readTree(this.body).path(EXECUTED).asText();
		}
		catch (IOException ex) {
			return "";
		}
	}

	private String quoted() {
		String text = new String(this.body, StandardCharsets.UTF_8);
		return (text.length() > MAX_QUOTED_CHARS) ? text.substring(0, MAX_QUOTED_CHARS) : text;
	}

}
