package io.sequoialink.daemon.host;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.fasterxml.jackson.databind.JsonNode;
import io.sequoialink.membership.Peers;
import io.sequoialink.model.Identifiers;
import io.sequoialink.model.Json;
import io.sequoialink.model.RequestId;
import io.sequoialink.router.ExplanationStore;

/**
 * Finds the explanation of a request at whichever host handled it. Thread-safe; the map
 * of open questions is bounded by the callers that wait.
 */
final class ExplainExchange {

	private static final String ASK = "explain-ask";

	private static final String ANSWER = "explain-answer";

	private final Peers peers;

	private final ExplanationStore store;

	private final Map<String, CompletableFuture<JsonNode>> open = new ConcurrentHashMap<>();

	ExplainExchange(Peers peers, ExplanationStore store) {
		this.peers = peers;
		this.store = store;
		peers.subscribe(ASK, this::answer);
		peers.subscribe(ANSWER, this::receive);
	}

	Optional<JsonNode> find(RequestId request, Duration patience) {
		Optional<JsonNode> own = own(request);
		if (own.isPresent()) {
			return own;
		}
		CompletableFuture<JsonNode> answer = this.open.computeIfAbsent(request.value(),
				(id) -> new CompletableFuture<>());
		try {
			this.peers.send(ASK, request.value().getBytes(StandardCharsets.UTF_8), this.peers.members());
			return Optional.of(answer.get(patience.toMillis(), TimeUnit.MILLISECONDS));
		}
		catch (TimeoutException | ExecutionException ex) {
			return Optional.empty();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return Optional.empty();
		}
		finally {
			this.open.remove(request.value(), answer);
		}
	}

	private Optional<JsonNode> own(RequestId request) {
		return this.store.find(request).map((snapshot) -> Json.mapper().valueToTree(snapshot));
	}

	private void answer(Peers.PeerMessage message) {
		String id = new String(message.payload(), StandardCharsets.UTF_8);
		if (Identifiers.valid(id)) {
			own(new RequestId(id)).ifPresent((found) -> this.peers.send(ANSWER,
					Json.write(found).getBytes(StandardCharsets.UTF_8), List.of(message.sender())));
		}
	}

	private void receive(Peers.PeerMessage message) {
		try {
			JsonNode found = Json.mapper().readTree(message.payload());
			CompletableFuture<JsonNode> waiting = this.open.get(found.path("request").asText());
			if (waiting != null) {
				waiting.complete(found);
			}
		}
		catch (IOException ex) {
			// a malformed answer answers nothing; the caller's wait ends by its timeout
		}
	}

}
