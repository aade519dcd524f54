package io.sequoialink.decision.routing;

import java.util.Optional;
import java.util.Set;

import io.sequoialink.decision.RequestFacts;
import io.sequoialink.decision.ServerView;
import io.sequoialink.model.AccountId;
import io.sequoialink.model.BackendServer;
import io.sequoialink.model.ClassId;
import io.sequoialink.model.RequestId;
import io.sequoialink.model.ServerId;
import io.sequoialink.model.ServerKind;

final class ServerViewFixture {

	private static final long OLD = 1_000_000;

	private ServerViewFixture() {
	}

	static RequestFacts request(long prefixHash) {
		return new RequestFacts(new RequestId("r"), new AccountId("a"), new ClassId("c"), 0.9, 1000, 10, 10, false,
				Optional.empty(), false, prefixHash, "", 0);
	}

	static ServerView idle(int number) {
		return view(number, false, false, 0, OLD);
	}

	static ServerView view(int number, boolean leaving, boolean ejected, int inFlight, long ageMillis) {
		BackendServer server = new BackendServer(id(number), ServerKind.ENGINE, "127.0.0.1", 1000 + number, "z1",
				Set.of("v"), leaving);
		return new ServerView(server, inFlight, 0, 0, 8, 0, 0, ejected, ageMillis, 0, true);
	}

	static ServerId id(int number) {
		return new ServerId("s" + number);
	}

}
