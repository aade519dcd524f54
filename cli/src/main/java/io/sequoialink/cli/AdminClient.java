package io.sequoialink.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sequoialink.catalogue.Change;
import io.sequoialink.catalogue.Verdict;
import io.sequoialink.model.CatalogueView;
import io.sequoialink.model.Json;
import io.sequoialink.model.Rollout;
import io.sequoialink.remote.HttpAddress;
import io.servicetalk.http.api.BlockingHttpClient;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.utils.TimeoutHttpRequesterFilter;

/**
 * Client of the operator HTTP API ({@code /admin}) of one entry host. Confined to one
 * thread. It never retries: if a response is lost, the operator looks at the change
 * history to see whether the change was made.
 */
final class AdminClient implements AutoCloseable {

	private static final int BAD_REQUEST = 400;

	private static final int FIRST_ERROR_STATUS = 400;

	private final HttpAddress address;

	private final Optional<String> operatorKey;

	private final BlockingHttpClient client;

	AdminClient(HttpAddress address, Optional<String> operatorKey, Duration timeout) {
		this.address = address;
		this.operatorKey = operatorKey;
		this.client = HttpClients.forResolvedAddress(address.socketAddress())
			.appendClientFilter(new TimeoutHttpRequesterFilter(timeout, true))
			.buildBlocking();
	}

	JsonNode get(String target) throws AdminException {
		return send(this.client.get(target));
	}

	JsonNode post(String target, Object body) throws AdminException {
		HttpRequest request = this.client.post(target);
		request.setHeader("content-type", "application/json");
		request.payloadBody(this.client.executionContext().bufferAllocator().fromUtf8(Json.write(body)));
		return send(request);
	}

	CatalogueView config() throws AdminException {
		JsonNode config = get("/admin/config");
		List<CatalogueView.Entry> entries = new ArrayList<>();
		for (JsonNode entry : config.path("entries")) {
			entries.add(read(entry, CatalogueView.Entry.class));
		}
		return CatalogueView.of(config.path("revision").asLong(), entries);
	}

	List<Verdict> submit(List<Change> changes) throws AdminException {
		return changes.isEmpty() ? List.of() : readVerdicts(post("/admin/changes", changes));
	}

	List<Verdict> history(int limit) throws AdminException {
		return readVerdicts(get("/admin/history?limit=" + limit));
	}

	List<Rollout> rollouts() throws AdminException {
		List<Rollout> rollouts = new ArrayList<>();
		for (JsonNode rollout : get("/admin/rollouts")) {
			rollouts.add(read(((ObjectNode) rollout).put("kind", "rollout"), Rollout.class));
		}
		return rollouts;
	}

	@Override
	public void close() throws Exception {
		this.client.close();
	}

	private List<Verdict> readVerdicts(JsonNode list) throws AdminException {
		List<Verdict> verdicts = new ArrayList<>();
		for (JsonNode verdict : list) {
			verdicts.add(read(verdict, Verdict.class));
		}
		return verdicts;
	}

	private <T> T read(JsonNode node, Class<T> type) throws AdminException {
		try {
			return Json.mapper().treeToValue(node, type);
		}
		catch (IOException ex) {
			throw new AdminException(ExitCodes.FAILED, "host " + this.address
					+ " sent a response that cannot be read as " + type.getSimpleName() + ": " + ex.getMessage(), ex);
		}
	}

	private JsonNode send(HttpRequest request) throws AdminException {
		this.operatorKey.ifPresent((secret) -> request.setHeader("authorization", "Bearer " + secret));
		try {
			HttpResponse response = this.client.request(request);
			JsonNode body = parse(response.payloadBody().toString(StandardCharsets.UTF_8));
			int status = response.status().code();
			if (status >= FIRST_ERROR_STATUS) {
				JsonNode error = body.has("error") ? body.path("error") : body;
				throw new AdminException((status == BAD_REQUEST) ? ExitCodes.INVALID : ExitCodes.FAILED,
						"host " + this.address + " rejected the request with status " + status + ": "
								+ error.path("reason").asText(error.path("message").asText("no reason given")),
						null);
			}
			return body;
		}
		catch (AdminException ex) {
			throw ex;
		}
		catch (Exception ex) {
			throw new AdminException(ExitCodes.FAILED,
					"no answer from host " + this.address + " (set --host or SEQUOIALINK_HOST to any entry host): "
							+ ((ex.getMessage() != null) ? ex.getMessage() : ex.getClass().getSimpleName()),
					ex);
		}
	}

	private static JsonNode parse(String text) throws IOException {
		try {
			return Json.mapper().readTree(text.isEmpty() ? "{}" : text);
		}
		catch (IOException ex) {
			throw new IOException("the response is not valid JSON", ex);
		}
	}

}
