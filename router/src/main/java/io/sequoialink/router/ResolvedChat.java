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
 * A request with everything that the configuration says of it. Immutable and thread-safe.
 *
 * @param request the request
 * @param view the configuration at arrival
 * @param account the client account
 * @param requestClass the class
 * @param facts what the policies may know
 * @param candidates the versions on which it may run, tier by tier; not empty
 * @param session the session that it continues
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
