package io.sequoialink.gateway.fleet;

import java.util.List;
import java.util.OptionalInt;

/**
 * A client account with its API keys. Immutable.
 *
 * @param name name of the account
 * @param keys API keys, one of which a client sends with each request
 * @param priority priority of the account's requests, used instead of the route's; 0 is
 * the most important, a higher number is less important; empty to use the route's
 */
public record ClientAccount(String name, List<String> keys, OptionalInt priority) {

	@Override
	public String toString() {
		return "ClientAccount[" + this.name + "]";
	}

}
