package io.sequoialink.soak;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Each check sees the fault that it is meant for, and nothing where all is as promised.
 */
class LedgerTests {

	private final Calm calm = new Calm();

	private final Ledger ledger = new Ledger(this.calm);

	private Asked ask(Asked.Kind kind) {
		return this.ledger.sent(new Asked("q1", kind, "acme", "h1", "/x/1"));
	}

	private static HttpWire.Head head(String... more) {
		Map<String, String> headers = new HashMap<>(Map.of("x-sequoialink-tenant", "acme"));
		for (int i = 0; i < more.length; i += 2) {
			headers.put(more[i], more[i + 1]);
		}
		return new HttpWire.Head("POST /x/1 HTTP/1.1", headers);
	}

	static Stream<Arguments> faults() {
		return Stream.of(fault("TWICE", Asked.Kind.ONCE, (ledger) -> {
			ledger.begun("q1", "i-1", "app", head());
			ledger.begun("q1", "i-2", "app", head());
		}), fault("REFUSED", Asked.Kind.ONCE, (ledger) -> {
			ledger.begun("q1", "i-1", "app", head());
			ledger.answered(ledger.find("q1").orElseThrow(), 503);
		}), fault("REFUSED", Asked.Kind.ONCE, (ledger) -> {
			ledger.answered(ledger.find("q1").orElseThrow(), 429);
			ledger.begun("q1", "i-1", "app", head());
		}), fault("UNASKED", Asked.Kind.SAFE, (ledger) -> ledger.begun("q9", "i-1", "app", head())),
				fault("UNASKED", Asked.Kind.SAFE,
						(ledger) -> ledger.begun("q1", "i-1", "app", head("x-sequoialink-credential", "key-acme"))),
				fault("UNASKED", Asked.Kind.SAFE,
						(ledger) -> ledger.begun("q1", "i-1", "app", head("x-sequoialink-tenant", "bolt"))),
				fault("ROUTE", Asked.Kind.STREAM, (ledger) -> ledger.begun("q1", "i-1", "app", head())),
				fault("BUDGET", Asked.Kind.SAFE, (ledger) -> {
					for (int i = 0; i <= Bounds.MAX_ATTEMPTS; i++) {
						ledger.begun("q1", "i-" + i, "app", head());
					}
				}), fault("LOST", Asked.Kind.SAFE, (ledger) -> {
					ledger.begun("q1", "i-1", "app", head());
					ledger.cut(ledger.find("q1").orElseThrow(), true);
				}));
	}

	private static Arguments fault(String rule, Asked.Kind kind, Consumer<Ledger> work) {
		return Arguments.of(rule, kind, work);
	}

	@ParameterizedTest(name = "{0} {1}")
	@MethodSource("faults")
	void aFaultIsSeen(String rule, Asked.Kind kind, Consumer<Ledger> work) {
		ask(kind);
		work.accept(this.ledger);
		assertThat(this.ledger.violations()).extracting(Violation::rule).containsExactly(rule);
	}

	@Test
	void whatIsAllowedIsNotReported() {
		Asked safe = ask(Asked.Kind.SAFE);
		this.ledger.begun("q1", "i-1", "app", head());
		this.ledger.begun("q1", "i-2", "app", head());
		this.ledger.answered(safe, 200);
		Asked once = this.ledger.sent(new Asked("q2", Asked.Kind.ONCE, "acme", "h1", "/x/1"));
		this.ledger.answered(once, 503);
		assertThat(this.ledger.violations()).isEmpty();
	}

	@Test
	void aCutByADisturbedHostIsNotItsFault() {
		this.calm.disturb("h1");
		Asked asked = ask(Asked.Kind.SAFE);
		this.ledger.begun("q1", "i-1", "app", head());
		this.ledger.cut(asked, true);
		assertThat(this.ledger.violations()).isEmpty();
	}

	@Test
	void aContentThatGoesOnCrashingServersIsSeen() throws Exception {
		ask(Asked.Kind.SAFE);
		for (int i = 0; i < 3; i++) {
			this.ledger.crashed("q1", "poison");
		}
		assertThat(this.ledger.violations()).isEmpty();
		Thread.sleep(Bounds.STABLE_MILLIS + 50);
		for (int i = 0; i < 4; i++) {
			this.ledger.crashed("q1", "poison");
		}
		assertThat(this.ledger.violations()).extracting(Violation::rule).containsExactly("BUDGET");
	}

}
