package io.sequoialink.router;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

import io.sequoialink.decision.Candidate;
import io.sequoialink.decision.RequestFacts;
import io.sequoialink.model.CatalogueView;
import io.sequoialink.model.ClientAccount;
import io.sequoialink.model.RequestClass;

/**
 * A chat request with the configuration objects that apply to it. Immutable and
 * thread-safe.
 *
 * @param request the request as received
 * @param view the configuration on arrival of the request
 * @param account the client account of the caller
 * @param requestClass the request class
 * @param facts the properties of the request that are visible to the policies
 * @param candidates the versions on which the request may run, tier by tier, with latency
 * estimates; not empty
 * @param session the session that the request continues, if any
 */
record ResolvedChat(ChatRequest request, CatalogueView view, ClientAccount account, RequestClass requestClass,
		RequestFacts facts, List<Candidate> candidates, Optional<SessionTokens.Session> session) {

	ResolvedChat {
		Objects.requireNonNull(request, "request");
		Objects.requireNonNull(view, "view");
		Objects.requireNonNull(account, "account");
		Objects.requireNonNull(requestClass, "requestClass");
		Objects.requireNonNull(facts, "facts");
		candidates = List.copyOf(candidates);
		Objects.requireNonNull(session, "session");
	}

}
