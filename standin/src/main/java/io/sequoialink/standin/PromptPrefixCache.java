package io.sequoialink.standin;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.sequoialink.remote.EngineClient.Message;

/**
 * Simulates the prompt prefix cache (KV cache) of an engine: an LRU cache with a fixed
 * number of prefixes, where each prefix ends after a whole message. Thread-safe; guarded
 * by its own monitor.
 */
final class PromptPrefixCache {

	private static final int CHARS_PER_TOKEN = 4;

	private final Map<Long, Boolean> prefixes = new LinkedHashMap<>(16, 0.75f, true);

	private final int maxPrefixes;

	PromptPrefixCache(int limit) {
		this.maxPrefixes = limit;
	}

	static int countTokens(List<Message> messages) {
		return messages.stream().mapToInt((message) -> message.content().length() / CHARS_PER_TOKEN + 1).sum();
	}

	/**
	 * Stores all prefixes of a prompt and returns how much of it was cached before.
	 * @param version the version that processes the prompt; versions share no prefixes
	 * @param messages the messages of the prompt
	 * @return the number of tokens in the longest prefix that was cached, 0 for none
	 */
	synchronized int lookUpAndStore(String version, List<Message> messages) {
		long hash = SeededRandom.bits(0, version);
		int cached = 0;
		for (int count = 1; count <= messages.size(); count++) {
			hash = SeededRandom.bits(hash, messages.get(count - 1).content());
			if (this.prefixes.put(hash, true) != null) {
				cached = countTokens(messages.subList(0, count));
			}
		}
		while (this.prefixes.size() > this.maxPrefixes) {
			this.prefixes.remove(this.prefixes.keySet().iterator().next());
		}
		return cached;
	}

	synchronized void clear() {
		this.prefixes.clear();
	}

}
