package io.sequoialink.daemon.http;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

import io.sequoialink.catalogue.Catalogue;
import io.sequoialink.model.CatalogueView;
import io.sequoialink.model.ClientAccount;
import io.sequoialink.model.RefusalCode;
import io.sequoialink.model.VersionState;
import io.sequoialink.router.AccountIndex;
import io.sequoialink.router.ChatRouter;
import io.sequoialink.router.ServiceRouter;

/**
 * Sets the routes that callers, the balancer and the metrics collector use. Stateless.
 */
public final class PublicRoutes {

	private PublicRoutes() {
	}

	/**
	 * Sets the routes.
	 * @param frontend the server
	 * @param limits bounds on callers
	 * @param chat answers requests for models
	 * @param services answers calls to plain services
	 * @param catalogue the configuration
	 * @param metrics the metrics
	 * @param ready whether the host may receive requests
	 */
	public static void set(Frontend frontend, HttpLimits limits, ChatRouter chat, ServiceRouter services,
			Catalogue catalogue, Metrics metrics, BooleanSupplier ready) {
		frontend.route("POST", "/v1/chat/completions", true, new ChatHandler(chat, limits));
		frontend.route("", ServiceHandler.PREFIX, true, new ServiceHandler(services, limits));
		AccountIndex accounts = new AccountIndex();
		frontend.route("GET", "/v1/models", true, (exchange) -> {
			CatalogueView view = catalogue.view();
			String key = CallerHeaders.read(exchange.id(), exchange.request().headers()).accountKey();
			ClientAccount account = accounts.find(view, key)
				.orElseThrow(() -> CallerHeaders.refuse(RefusalCode.UNAUTHENTICATED, "the account key is unknown"));
			exchange.json(200, new ModelList("list", models(view, account)));
		});
		frontend.route("GET", "/health/live", false, (exchange) -> exchange.json(200, Map.of("status", "live")));
		frontend.route("GET", "/health/ready", false, (exchange) -> {
			boolean isReady = ready.getAsBoolean() && !frontend.inFlight().draining();
			exchange.json(isReady ? 200 : 503, Map.of("ready", isReady));
		});
		frontend.route("GET", "/metrics", false,
				(exchange) -> exchange.whole(200, "text/plain; version=0.0.4; charset=utf-8", metrics.text()));
		frontend.route("GET", "/", false, (exchange) -> exchange.whole(200, "text/plain; charset=utf-8",
				"sequoialink entry host: POST /v1/chat/completions\n".getBytes(StandardCharsets.UTF_8)));
	}

	private static List<Model> models(CatalogueView view, ClientAccount account) {
		Stream<String> versions = view.versions()
			.filter((version) -> version.state() == VersionState.OFFERED)
			.filter((version) -> account.allowedVersions().matches(version.labels()))
			.map((version) -> version.id().value());
		return Stream.concat(Stream.of(ChatBody.AUTO), versions).map((id) -> new Model(id, "model")).toList();
	}

	private record ModelList(String object, List<Model> data) {
	}

	private record Model(String id, String object) {
	}

}
