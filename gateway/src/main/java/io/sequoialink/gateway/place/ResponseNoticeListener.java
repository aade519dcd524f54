package io.sequoialink.gateway.place;

import io.sequoialink.gateway.fleet.ServerEntry;

/**
 * Receives the notices that backend servers send to this host, each one only the first
 * time. Called on the event loop.
 */
@FunctionalInterface
public interface ResponseNoticeListener {

	/** Ignores all notices. */
	ResponseNoticeListener NONE = (server, notice) -> {
	};

	/**
	 * Called when a server has announced a shutdown or asked for a back-off.
	 * @param server the server
	 * @param notice the notice
	 */
	void noticeReceived(ServerEntry server, ResponseNotice notice);

}
