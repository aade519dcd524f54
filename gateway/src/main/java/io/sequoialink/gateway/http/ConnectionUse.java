package io.sequoialink.gateway.http;

/**
 * Where an attempt's request was written, for the log: which connection, and which of its
 * requests. Immutable.
 *
 * @param localPort this host's port of the connection, by which the server's own record
 * can be found
 * @param request number of the request on the connection, from 1
 * @param direct whether the connection does not go through another host
 */
record ConnectionUse(int localPort, int request, boolean direct) {

	@Override
	public String toString() {
		return "port " + this.localPort + ", request " + this.request + " on it"
				+ (this.direct ? "" : ", through another host");
	}

}
