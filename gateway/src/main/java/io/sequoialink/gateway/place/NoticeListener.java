package io.sequoialink.gateway.place;

import io.sequoialink.gateway.fleet.ServerEntry;

/**
 * Receives the notices that backend servers send to this host, each one only the first
 * time. Called on the event loop.
 */
@FunctionalInterface
public interface NoticeListener {

	/** Ignores all notices. */
	NoticeListener NONE = (server, notice) -> {
	};

	/**
	 * Called when a server has announced a shutdown or asked for a back-off.
	 * @param server the server
	 * @param notice the notice
	 */
	void heard(ServerEntry server, ServerWord notice);

}
