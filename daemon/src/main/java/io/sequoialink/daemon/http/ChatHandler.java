package io.sequoialink.daemon.http;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.sequoialink.model.Json;
import io.sequoialink.model.Refusal;
import io.sequoialink.remote.CallerGoneException;
import io.sequoialink.router.AnswerMetadata;
import io.sequoialink.router.AnswerSink;
import io.sequoialink.router.CallerContext;
import io.sequoialink.router.ChatAnswer;
import io.sequoialink.router.ChatRequest;
import io.sequoialink.router.ChatRouter;
import io.sequoialink.router.RefusedException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Answers {@code POST /v1/chat/completions}, whole or as server-sent events. A stream
 * that can't be completed ends with an explicit error event, never with the end marker.
 * Thread-safe.
 */
final class ChatHandler implements Handler {

	private static final Logger LOG = LoggerFactory.getLogger(ChatHandler.class);

	private static final String END_MARKER = "data: [DONE]\n\n";

	private final ChatRouter router;

	private final HttpLimits limits;

	ChatHandler(ChatRouter router, HttpLimits limits) {
		this.router = router;
		this.limits = limits;
	}

	@Override
	public void handle(Exchange exchange) throws RefusedException, IOException {
		exchange.requireJson();
		CallerContext caller = CallerHeaders.read(exchange.id(), exchange.request().headers());
		ChatRequest request = ChatBody.read(caller, exchange.body(this.limits), this.limits);
		if (request.streamed()) {
			streamed(exchange, request);
		}
		else {
			whole(exchange, request);
		}
	}

	private void whole(Exchange exchange, ChatRequest request) throws RefusedException, IOException {
		ChatAnswer answer = this.router.route(request, AnswerSink.NONE);
		headHeaders(answer.metadata()).forEach(exchange::header);
		exchange.header("x-sequoialink-cost", Long.toString(answer.cost()));
		exchange.json(200, completion(answer));
	}

	private void streamed(Exchange exchange, ChatRequest request) throws RefusedException, IOException {
		try {
			ChatAnswer answer = this.router.route(request, new EventSink(exchange));
			if (!exchange.begun()) {
				exchange.begin(200, "text/event-stream", headHeaders(answer.metadata()));
			}
			exchange.write(event(chunk(answer.metadata(), Map.of(), Optional.of(answer.finishReason()))));
			exchange.write(END_MARKER);
			exchange.end();
		}
		catch (RefusedException ex) {
			if (!exchange.begun()) {
				throw ex;
			}
			endWithError(exchange, ex.refusal());
		}
		catch (CallerGoneException ex) {
			LOG.info(HttpEvents.CALLER_GONE, exchange.id());
		}
	}

	private static void endWithError(Exchange exchange, Refusal refusal) throws IOException {
		try {
			exchange.write("event: error\ndata: " + Json.write(ErrorBody.of(exchange.id(), refusal)) + "\n\n");
			exchange.end();
		}
		catch (CallerGoneException ex) {
			LOG.info(HttpEvents.CALLER_GONE, exchange.id());
		}
	}

	private static Map<String, String> headHeaders(AnswerMetadata head) {
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put("x-sequoialink-version", head.version().value());
		head.session().ifPresent((token) -> headers.put(CallerHeaders.SESSION, token));
		return headers;
	}

	private static String event(Object value) {
		return "data: " + Json.write(value) + "\n\n";
	}

	private static Completion completion(ChatAnswer answer) {
		return new Completion(answer.metadata().request().value(), "chat.completion",
				answer.metadata().version().value(),
				List.of(new Choice(0, Optional.of(Map.of("role", "assistant", "content", answer.text())),
						Optional.empty(), Optional.of(answer.finishReason()))),
				Optional.of(new Usage(answer.promptTokens(), answer.answerTokens(),
						answer.promptTokens() + answer.answerTokens())));
	}

	private static Completion chunk(AnswerMetadata head, Map<String, String> delta, Optional<String> finishReason) {
		return new Completion(head.request().value(), "chat.completion.chunk", head.version().value(),
				List.of(new Choice(0, Optional.empty(), Optional.of(delta), finishReason)), Optional.empty());
	}

	private record Completion(String id, String object, String model, List<Choice> choices, Optional<Usage> usage) {
	}

	private record Choice(int index, Optional<Map<String, String>> message, Optional<Map<String, String>> delta,
			@JsonProperty("finish_reason") Optional<String> finishReason) {
	}

	private record Usage(@JsonProperty("prompt_tokens") int promptTokens,
			@JsonProperty("completion_tokens") int completionTokens, @JsonProperty("total_tokens") int totalTokens) {
	}

	private static final class EventSink implements AnswerSink {

		private final Exchange exchange;

		private AnswerMetadata head;

		private EventSink(Exchange exchange) {
			this.exchange = exchange;
		}

		@Override
		public void begin(AnswerMetadata newHead) throws CallerGoneException {
			this.head = newHead;
			this.exchange.begin(200, "text/event-stream", headHeaders(newHead));
			this.exchange.write(event(chunk(newHead, Map.of("role", "assistant", "content", ""), Optional.empty())));
		}

		@Override
		public void token(String text) throws CallerGoneException {
			this.exchange.write(event(chunk(this.head, Map.of("content", text), Optional.empty())));
		}

	}

}
