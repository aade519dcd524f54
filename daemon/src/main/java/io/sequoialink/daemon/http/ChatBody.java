package io.sequoialink.daemon.http;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import io.sequoialink.model.Identifiers;
import io.sequoialink.model.Json;
import io.sequoialink.model.RefusalCode;
import io.sequoialink.model.VersionId;
import io.sequoialink.remote.EngineClient.Message;
import io.sequoialink.router.CallerContext;
import io.sequoialink.router.ChatRequest;
import io.sequoialink.router.RefusedException;

/**
 * Reads the chat-completions body. Stateless and thread-safe; members that the router
 * does not use are ignored, as client libraries send many.
 */
final class ChatBody {

	/** The model name that leaves the choice to the router. */
	static final String AUTO = "auto";

	private static final int DEFAULT_MAX_TOKENS = 256;

	private static final Set<String> ROLES = Set.of("system", "developer", "user", "assistant", "tool");

	private ChatBody() {
	}

	static ChatRequest read(CallerContext caller, byte[] body, HttpLimits limits) throws RefusedException {
		JsonNode root = parse(body);
		return new ChatRequest(caller, messages(root.path("messages"), limits), maxTokens(root, limits),
				flag(root.path("stream")), version(root.path("model")));
	}

	private static JsonNode parse(byte[] body) throws RefusedException {
		try {
			JsonNode root = Json.mapper().readTree(body);
			if (root != null && root.isObject()) {
				return root;
			}
		}
		catch (IOException ex) {
			throw bad("the body is not JSON");
		}
		throw bad("the body is not a JSON object");
	}

	private static List<Message> messages(JsonNode node, HttpLimits limits) throws RefusedException {
		if (!node.isArray() || node.isEmpty() || node.size() > limits.maxMessages()) {
			throw bad("'messages' must be an array of 1 to " + limits.maxMessages() + " messages");
		}
		List<Message> messages = new ArrayList<>();
		for (JsonNode message : node) {
			String role = message.path("role").asText();
			if (!ROLES.contains(role)) {
				throw bad("the role of a message must be one of " + ROLES);
			}
			messages.add(new Message(role, content(message.path("content"))));
		}
		return messages;
	}

	private static String content(JsonNode node) throws RefusedException {
		if (node.isTextual()) {
			return node.asText();
		}
		if (!node.isArray()) {
			throw bad("the content of a message must be a string or an array of text parts");
		}
		StringBuilder text = new StringBuilder();
		for (JsonNode part : node) {
			if (!"text".equals(part.path("type").asText()) || !part.path("text").isTextual()) {
				throw bad("only text parts are accepted in the content of a message");
			}
			text.append(part.path("text").asText());
		}
		return text.toString();
	}

	private static int maxTokens(JsonNode root, HttpLimits limits) throws RefusedException {
		JsonNode node = root.hasNonNull("max_completion_tokens") ? root.path("max_completion_tokens")
				: root.path("max_tokens");
		if (node.isMissingNode() || node.isNull()) {
			return DEFAULT_MAX_TOKENS;
		}
		if (!node.canConvertToInt() || !node.isIntegralNumber() || node.asInt() < 1
				|| node.asInt() > limits.maxAnswerTokens()) {
			throw bad("'max_tokens' must be a whole number from 1 to " + limits.maxAnswerTokens());
		}
		return node.asInt();
	}

	private static boolean flag(JsonNode node) throws RefusedException {
		if (node.isMissingNode() || node.isNull()) {
			return false;
		}
		if (!node.isBoolean()) {
			throw bad("'stream' must be true or false");
		}
		return node.asBoolean();
	}

	private static Optional<VersionId> version(JsonNode node) throws RefusedException {
		if (node.isMissingNode() || node.isNull() || AUTO.equals(node.asText())) {
			return Optional.empty();
		}
		if (!Identifiers.valid(node.asText())) {
			throw bad("'model' must be '" + AUTO + "' or the identifier of a version");
		}
		return Optional.of(new VersionId(node.asText()));
	}

	private static RefusedException bad(String reason) {
		return CallerHeaders.refuse(RefusalCode.BAD_REQUEST, reason);
	}

}
