package io.sequoialink.remote;

import io.sequoialink.model.ServerId;
import io.sequoialink.model.VersionId;

/**
 * The platform's rate-limited store of model weights. Implementations are thread-safe;
 * the call blocks.
 */
@FunctionalInterface
public interface WeightStore {

	/**
	 * Asks for permission to load a version's weights now.
	 * @param server the engine that will load them
	 * @param version the version
	 * @return whether the store's rate limit admits the load
	 * @throws PlatformException if the store can't be reached
	 */
	boolean admit(ServerId server, VersionId version) throws PlatformException;

}
