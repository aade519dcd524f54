package io.sequoialink.gateway.http;

import java.util.List;

import com.dynatrace.hash4j.hashing.Hashing;
import io.sequoialink.gateway.place.PromptSize;

/**
 * Length of the prompt prefix that a request has in common with other requests, and of
 * the rest. Immutable.
 *
 * @param prefixId identifier of the last common part, 0 if there is none
 * @param prefixTokens tokens up to the end of that part
 * @param suffixTokens tokens after it
 */
record PromptPrefix(long prefixId, int prefixTokens, int suffixTokens) {

	/**
	 * Splits the prompt of a request; its last part is taken to be specific to the
	 * request.
	 * @param metadata metadata of the request
	 * @return the lengths
	 */
	static PromptPrefix of(RequestMetadata metadata) {
		List<PromptPart> parts = metadata.prompt();
		int shared = 0;
		for (int i = 0; i < parts.size() - 1; i++) {
			shared += parts.get(i).tokens();
		}
		long part = (parts.size() > 1) ? parts.get(parts.size() - 2).id() : 0;
		return new PromptPrefix(part, shared, Math.max(0, metadata.promptTokens() - shared));
	}

	/**
	 * Returns the size of the prompt for the load balancing.
	 * @param model name of the model, empty for plain services
	 * @return the size, with the prefix identified by the model and the last common part
	 */
	PromptSize work(String model) {
		if (model.isEmpty()) {
			return PromptSize.NONE;
		}
		long prefixKey = (this.prefixId == 0) ? 0
				: Hashing.wyhashFinal4().hashStream().putLong(this.prefixId).putString(model).getAsLong();
		return new PromptSize(model, prefixKey, this.prefixTokens, this.suffixTokens);
	}

}
