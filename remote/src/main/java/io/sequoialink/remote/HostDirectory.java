package io.sequoialink.remote;

import java.util.List;

import io.sequoialink.model.BackendServer;

/**
 * The platform's list of live and leaving backend servers. It lags by seconds.
 * Implementations are thread-safe; the call blocks.
 */
@FunctionalInterface
public interface HostDirectory {

	/**
	 * Returns the servers on the list.
	 * @return live and leaving servers
	 * @throws PlatformException if the list can't be read
	 */
	List<BackendServer> list() throws PlatformException;

}
