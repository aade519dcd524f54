package io.sequoialink.gateway.fleet;

import java.util.List;
import java.util.OptionalInt;

/**
 * A client account with its API keys. Immutable.
 *
 * @param name name of the account
 * @param keys keys that clients send with requests
 * @param priority priority that replaces the route's (0 is the most urgent), if the
 * account has one
 */
public record ClientAccount(String name, List<String> keys, OptionalInt priority) {

	@Override
	public String toString() {
		return "ClientAccount[" + this.name + "]";
	}

}
