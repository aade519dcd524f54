package io.sequoialink.gateway.path;

import java.util.List;
import java.util.function.Consumer;

import io.sequoialink.gateway.fleet.ServerEntry;

/**
 * Finds out whether this host's own path to servers is whole, after one of them has
 * refused a connection, by connecting to others. Confined to the event loop.
 */
final class OwnPathCheck {

	/**
	 * Number of servers at which a host checks its own path. After a series of crashes
	 * several that are registered have ended.
	 */
	private static final int MAX_CHECKED = 4;

	private final ServerConnector connector;

	private final OtherServers others;

	OwnPathCheck(ServerConnector connector, OtherServers others) {
		this.connector = connector;
		this.others = others;
	}

	/**
	 * Checks the path to the servers of one service.
	 * @param refusing the server that refuses
	 * @param callback receives whether another server takes a connection, or none is
	 * registered
	 */
	void check(ServerEntry refusing, Consumer<Boolean> callback) {
		List<ServerEntry> drawn = this.others.draw(refusing, MAX_CHECKED);
		if (drawn.isEmpty()) {
			callback.accept(true);
			return;
		}
		connectToAny(drawn, callback);
	}

	/**
	 * Checks the path to the servers of all services: those of one may all have ended.
	 * @param refusing the server that refuses
	 * @param callback receives whether another server takes a connection, of whatever
	 * service, or none is registered
	 */
	void checkAllServices(ServerEntry refusing, Consumer<Boolean> callback) {
		check(refusing, (whole) -> {
			List<ServerEntry> elsewhere = whole ? List.of() : this.others.drawOfOtherServices(refusing, MAX_CHECKED);
			if (elsewhere.isEmpty()) {
				callback.accept(whole);
			}
			else {
				connectToAny(elsewhere, callback);
			}
		});
	}

	private void connectToAny(List<ServerEntry> servers, Consumer<Boolean> callback) {
		OpenChecks checks = new OpenChecks(servers.size(), callback);
		for (ServerEntry server : servers) {
			this.connector.checkDirectly(server, (cause) -> checks.ended(cause.isEmpty()));
		}
	}

	/** Checks that run at the same time; the first that succeeds decides. */
	private static final class OpenChecks {

		private final Consumer<Boolean> callback;

		private int open;

		private boolean decided;

		private OpenChecks(int open, Consumer<Boolean> callback) {
			this.open = open;
			this.callback = callback;
		}

		private void ended(boolean success) {
			this.open--;
			if (!this.decided && (success || this.open == 0)) {
				this.decided = true;
				this.callback.accept(success);
			}
		}

	}

}
