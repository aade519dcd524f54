package io.sequoialink.gateway.fleet;

import java.util.List;
import java.util.OptionalInt;

/**
 * A client account with its keys. Immutable.
 *
 * @param name name of the account
 * @param keys keys that callers present
 * @param rank urgency that replaces the route's, if the account has one
 */
public record ClientAccount(String name, List<String> keys, OptionalInt rank) {

	@Override
	public String toString() {
		return "ClientAccount[" + this.name + "]";
	}

}
