package io.sequoialink.standin;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.sequoialink.remote.EngineClient.Message;

/**
 * An engine's cache of prompt prefixes. Thread-safe; guarded by its own monitor. At most
 * the given number of prefixes is kept; the one unused for longest goes first.
 */
final class PrefixCache {

	private static final int CHARS_PER_TOKEN = 4;

	private final Map<Long, Boolean> prefixes = new LinkedHashMap<>(16, 0.75f, true);

	private final int limit;

	PrefixCache(int limit) {
		this.limit = limit;
	}

	static int tokens(List<Message> messages) {
		return messages.stream().mapToInt((message) -> message.content().length() / CHARS_PER_TOKEN + 1).sum();
	}

	/**
	 * Looks a prompt up and keeps its prefixes.
	 * @param version the version that reads it
	 * @param messages the prompt
	 * @return the tokens of the longest prefix that was cached
	 */
	synchronized int use(String version, List<Message> messages) {
		long hash = Draws.bits(0, version);
		int cached = 0;
		for (int count = 1; count <= messages.size(); count++) {
			hash = Draws.bits(hash, messages.get(count - 1).content());
			if (this.prefixes.put(hash, true) != null) {
				cached = tokens(messages.subList(0, count));
			}
		}
		while (this.prefixes.size() > this.limit) {
			this.prefixes.remove(this.prefixes.keySet().iterator().next());
		}
		return cached;
	}

	synchronized void clear() {
		this.prefixes.clear();
	}

}
