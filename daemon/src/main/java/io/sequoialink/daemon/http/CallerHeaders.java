package io.sequoialink.daemon.http;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.sequoialink.model.ClassId;
import io.sequoialink.model.Identifiers;
import io.sequoialink.model.Refusal;
import io.sequoialink.model.RefusalCode;
import io.sequoialink.model.RequestId;
import io.sequoialink.remote.HeaderRules;
import io.sequoialink.router.CallerContext;
import io.sequoialink.router.RefusedException;
import io.sequoialink.router.SessionTokens;
import io.servicetalk.http.api.HttpHeaders;

/**
 * Reads what callers state in headers. Stateless and thread-safe.
 */
final class CallerHeaders {

	static final String CLASS = "x-sequoialink-class";

	static final String QUALITY = "x-sequoialink-quality";

	static final String DEADLINE = "x-sequoialink-deadline";

	static final String SESSION = "x-sequoialink-session";

	static final String NEW_SESSION = "new";

	static final String IDEMPOTENCY_KEY = "idempotency-key";

	static final String ACCOUNT_KEY = "x-sequoialink-key";

	private static final String BEARER = "Bearer ";

	private static final Pattern DURATION = Pattern.compile("(-?[0-9]{1,9})(ms|s|m)");

	private static final Duration MAX_DEADLINE = Duration.ofHours(1);

	private CallerHeaders() {
	}

	static CallerContext read(RequestId id, HttpHeaders headers) throws RefusedException {
		Optional<String> session = text(headers, SESSION);
		boolean begin = session.map(NEW_SESSION::equals).orElse(false);
		return new CallerContext(id, accountKey(headers), requestClass(headers), quality(headers), deadline(headers),
				session.filter((token) -> !begin).map(CallerHeaders::bounded), begin, text(headers, IDEMPOTENCY_KEY));
	}

	static void requireKnownLength(HttpHeaders headers) throws RefusedException {
		if (!HeaderRules.lengthIsKnown(headers)) {
			throw refuse(RefusalCode.BAD_REQUEST, "the transfer coding must be chunked");
		}
	}

	private static String accountKey(HttpHeaders headers) throws RefusedException {
		Optional<String> authorization = text(headers, "authorization").filter((value) -> value.startsWith(BEARER))
			.map((value) -> value.substring(BEARER.length()).strip());
		return text(headers, ACCOUNT_KEY).or(() -> authorization)
			.orElseThrow(() -> refuse(RefusalCode.UNAUTHENTICATED,
					"the account key is missing: send 'authorization: Bearer KEY' or '" + ACCOUNT_KEY + ": KEY'"));
	}

	private static Optional<ClassId> requestClass(HttpHeaders headers) throws RefusedException {
		Optional<String> value = text(headers, CLASS);
		if (value.isPresent() && !Identifiers.valid(value.get())) {
			throw refuse(RefusalCode.BAD_REQUEST, "header " + CLASS + " is not an identifier");
		}
		return value.map(ClassId::new);
	}

	private static OptionalDouble quality(HttpHeaders headers) throws RefusedException {
		Optional<String> value = text(headers, QUALITY);
		if (value.isEmpty()) {
			return OptionalDouble.empty();
		}
		try {
			double share = Double.parseDouble(value.get());
			if (share > 0 && share <= 1) {
				return OptionalDouble.of(share);
			}
		}
		catch (NumberFormatException ex) {
			// refused below, with the same words as a share out of range
		}
		throw refuse(RefusalCode.BAD_REQUEST, "header " + QUALITY + " is not a share above 0 and up to 1");
	}

	private static Optional<Duration> deadline(HttpHeaders headers) throws RefusedException {
		Optional<String> value = text(headers, DEADLINE);
		if (value.isEmpty()) {
			return Optional.empty();
		}
		Matcher matcher = DURATION.matcher(value.get());
		if (!matcher.matches()) {
			throw refuse(RefusalCode.BAD_REQUEST, "header " + DEADLINE + " is not a time such as 800ms, 5s or 2m");
		}
		long amount = Long.parseLong(matcher.group(1));
		Duration deadline = switch (matcher.group(2)) {
			case "ms" -> Duration.ofMillis(amount);
			case "s" -> Duration.ofSeconds(amount);
			default -> Duration.ofMinutes(amount);
		};
		if (deadline.compareTo(MAX_DEADLINE) > 0) {
			throw refuse(RefusalCode.BAD_REQUEST, "header " + DEADLINE + " is above " + MAX_DEADLINE);
		}
		return Optional.of(deadline);
	}

	private static String bounded(String token) {
		return token.substring(0, Math.min(token.length(), SessionTokens.MAX_LENGTH + 1));
	}

	private static Optional<String> text(HttpHeaders headers, String name) {
		CharSequence value = headers.get(name);
		return (value != null) ? Optional.of(value.toString().strip()) : Optional.empty();
	}

	static RefusedException refuse(RefusalCode code, String reason) {
		return new RefusedException(Refusal.notRun(code, reason));
	}

}
