package io.sequoialink.gateway.http;

import java.util.List;

import com.dynatrace.hash4j.hashing.Hashing;
import io.sequoialink.gateway.place.EngineWork;

/**
 * Which part of a prompt requests share, and how much is the request's own. Immutable.
 *
 * @param sharedPart identifier of the last shared part, 0 if there is none
 * @param sharedTokens tokens up to the end of that part
 * @param ownTokens tokens after it
 */
record PromptShape(long sharedPart, int sharedTokens, int ownTokens) {

	/**
	 * Reads the shape of a request's prompt; its last part is the request's own.
	 * @param facts what the request says of itself
	 * @return the shape
	 */
	static PromptShape of(RequestFacts facts) {
		List<PromptPart> parts = facts.prompt();
		int shared = 0;
		for (int i = 0; i < parts.size() - 1; i++) {
			shared += parts.get(i).tokens();
		}
		long part = (parts.size() > 1) ? parts.get(parts.size() - 2).id() : 0;
		return new PromptShape(part, shared, Math.max(0, facts.promptTokens() - shared));
	}

	/**
	 * Returns what the prompt asks of an engine.
	 * @param model name of the model, empty for plain services
	 * @return the work
	 */
	EngineWork work(String model) {
		if (model.isEmpty()) {
			return EngineWork.PLAIN;
		}
		long keyed = (this.sharedPart == 0) ? 0
				: Hashing.wyhashFinal4().hashStream().putLong(this.sharedPart).putString(model).getAsLong();
		return new EngineWork(model, keyed, this.sharedTokens, this.ownTokens);
	}

}
