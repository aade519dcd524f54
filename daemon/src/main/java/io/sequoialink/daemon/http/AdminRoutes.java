package io.sequoialink.daemon.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import io.sequoialink.catalogue.Catalogue;
import io.sequoialink.catalogue.Change;
import io.sequoialink.catalogue.Verdict;
import io.sequoialink.membership.Peers;
import io.sequoialink.model.CatalogueView;
import io.sequoialink.model.Identifiers;
import io.sequoialink.model.Json;
import io.sequoialink.model.RefusalCode;
import io.sequoialink.model.RequestId;
import io.sequoialink.model.Selector;
import io.sequoialink.remote.LogUnavailableException;
import io.sequoialink.router.RefusedException;

/**
 * Sets the routes that the operators' commands use. Thread-safe.
 */
public final class AdminRoutes {

	private static final int HISTORY_LIMIT = 1000;

	private static final Duration CONFIRM_PATIENCE = Duration.ofSeconds(5);

	private final Frontend frontend;

	private final HttpLimits limits;

	private final Optional<String> adminKey;

	/**
	 * Prepares the routes.
	 * @param frontend the server
	 * @param limits bounds on bodies
	 * @param adminKey the key that operators present; without one the routes are open
	 */
	public AdminRoutes(Frontend frontend, HttpLimits limits, Optional<String> adminKey) {
		this.frontend = frontend;
		this.limits = limits;
		this.adminKey = adminKey;
	}

	/**
	 * Sets the routes.
	 * @param catalogue the configuration
	 * @param peers the members
	 * @param explanations finds explanations in the whole fleet
	 * @param bills the folded bills from an offset of the bill stream on
	 */
	public void set(Catalogue catalogue, Peers peers, Function<RequestId, Optional<JsonNode>> explanations,
			BillSource bills) {
		Withdrawal withdrawal = new Withdrawal(catalogue, peers);
		route("GET", "/admin/config", (exchange) -> exchange.json(200, config(catalogue.view())));
		route("POST", "/admin/changes", (exchange) -> exchange.json(200, apply(catalogue, exchange)));
		route("GET", "/admin/history",
				(exchange) -> exchange.json(200, catalogue.history((int) number(exchange, "limit", HISTORY_LIMIT))));
		route("GET", "/admin/members", (exchange) -> exchange.json(200, peers.members()));
		route("GET", "/admin/rollouts", (exchange) -> exchange.json(200, catalogue.view().rollouts().toList()));
		route("GET", "/admin/bills", (exchange) -> exchange.json(200, bills(bills, number(exchange, "from", 0))));
		route("GET", "/admin/explain/", (exchange) -> exchange.json(200, explain(explanations, exchange)));
		route("POST", "/admin/withdraw", (exchange) -> exchange.json(200, withdraw(withdrawal, exchange)));
	}

	private void route(String method, String path, Handler handler) {
		this.frontend.route(method, path, false, (exchange) -> {
			requireOperator(exchange);
			handler.handle(exchange);
		});
	}

	private void requireOperator(Exchange exchange) throws RefusedException {
		if (this.adminKey.isEmpty()) {
			return;
		}
		CharSequence sent = exchange.request().headers().get("authorization");
		byte[] expected = ("Bearer " + this.adminKey.get()).getBytes(StandardCharsets.UTF_8);
		if (sent == null || !MessageDigest.isEqual(expected, sent.toString().getBytes(StandardCharsets.UTF_8))) {
			throw CallerHeaders.refuse(RefusalCode.UNAUTHENTICATED, "the operators' key is missing or wrong");
		}
	}

	private static Config config(CatalogueView view) {
		return new Config(view.revision(), List.copyOf(view.entries()));
	}

	private List<Verdict> apply(Catalogue catalogue, Exchange exchange) throws RefusedException {
		List<Change> changes = read(exchange, new TypeReference<List<Change>>() {
		});
		List<Verdict> verdicts = new ArrayList<>();
		for (Change change : changes) {
			try {
				verdicts.add(catalogue.apply(change));
			}
			catch (LogUnavailableException ex) {
				throw unavailable(ex, verdicts.size());
			}
		}
		return verdicts;
	}

	private static RefusedException unavailable(LogUnavailableException ex, int applied) {
		return CallerHeaders.refuse(RefusalCode.LOG_UNAVAILABLE,
				applied + " changes have a verdict; the next one has none: " + ex.getMessage());
	}

	private WithdrawReport withdraw(Withdrawal withdrawal, Exchange exchange) throws RefusedException {
		WithdrawOrder order = read(exchange, new TypeReference<WithdrawOrder>() {
		});
		if (order.selector() == null || order.selector().text().isEmpty() || !Identifiers.valid(order.author())) {
			throw CallerHeaders.refuse(RefusalCode.BAD_REQUEST,
					"a selector that is not empty and an author are needed");
		}
		try {
			return withdrawal.withdraw(order.selector(), order.author(), order.reason(), CONFIRM_PATIENCE);
		}
		catch (LogUnavailableException ex) {
			throw CallerHeaders.refuse(RefusalCode.LOG_UNAVAILABLE, ex.getMessage());
		}
	}

	private static JsonNode explain(Function<RequestId, Optional<JsonNode>> explanations, Exchange exchange)
			throws RefusedException {
		String id = exchange.path().substring("/admin/explain/".length());
		if (!Identifiers.valid(id)) {
			throw CallerHeaders.refuse(RefusalCode.BAD_REQUEST, "the path holds no request identifier");
		}
		return explanations.apply(new RequestId(id))
			.orElseThrow(() -> CallerHeaders.refuse(RefusalCode.NOT_FOUND,
					"no host that answers holds an explanation of request " + id));
	}

	private static Object bills(BillSource source, long from) throws RefusedException {
		try {
			return source.from(from);
		}
		catch (LogUnavailableException ex) {
			throw CallerHeaders.refuse(RefusalCode.LOG_UNAVAILABLE, ex.getMessage());
		}
	}

	private static long number(Exchange exchange, String name, long standard) throws RefusedException {
		String value = exchange.request().queryParameter(name);
		try {
			return (value != null) ? Long.parseLong(value) : standard;
		}
		catch (NumberFormatException ex) {
			throw CallerHeaders.refuse(RefusalCode.BAD_REQUEST, "parameter " + name + " is not a number");
		}
	}

	private <T> T read(Exchange exchange, TypeReference<T> type) throws RefusedException {
		exchange.requireJson();
		try {
			T value = Json.mapper().readValue(exchange.body(this.limits), type);
			if (value != null) {
				return value;
			}
		}
		catch (IOException ex) {
			throw CallerHeaders.refuse(RefusalCode.BAD_REQUEST, "the body is not accepted: " + ex.getMessage());
		}
		throw CallerHeaders.refuse(RefusalCode.BAD_REQUEST, "the body is empty");
	}

	/**
	 * Gives the bills that the log holds.
	 */
	@FunctionalInterface
	public interface BillSource {

		/**
		 * Folds the bill stream.
		 * @param offset the first offset to read
		 * @return a value that has a JSON form
		 * @throws LogUnavailableException if the log can't be read
		 */
		Object from(long offset) throws LogUnavailableException;

	}

	private record Config(long revision, List<CatalogueView.Entry> entries) {
	}

	private record WithdrawOrder(Selector selector, String author, String reason) {
	}

}
