package io.sequoialink.gateway.place;

import java.util.Set;

import io.sequoialink.gateway.rollout.VersionGroup;

/**
 * Criteria for choosing a backend server for one attempt. Immutable.
 *
 * @param service name of the service that handles the request
 * @param versionGroup which versions may handle it
 * @param target version that a running roll-out moves the service to; empty without a
 * roll-out
 * @param serverShare part of the target version's servers that receive requests, from 0
 * to 1
 * @param prompt size of the prompt
 * @param tried identifiers of the servers to which the request was sent before
 * @param permitWaitNanos how long the request may wait for a permit of a limited server
 * if there is no other, in nanoseconds; {@link #NO_LIMITED_SERVER} leaves them out
 * @param expected what the request is expected to need
 */
public record LoadBalancingRequest(String service, VersionGroup versionGroup, String target, double serverShare,
		PromptSize prompt, Set<String> tried, long permitWaitNanos, ExpectedWork expected) {

	/** Only servers for which no permit is needed are chosen. */
	public static final long NO_LIMITED_SERVER = -1;

	/**
	 * Creates the criteria of a request of which it is not known what it needs.
	 * @param service name of the service that handles the request
	 * @param versionGroup which versions may handle it
	 * @param target version that a running roll-out moves the service to
	 * @param serverShare part of the target version's servers that receive requests
	 * @param prompt size of the prompt
	 * @param tried identifiers of the servers to which the request was sent before
	 * @param permitWaitNanos how long the request may wait for a permit, in nanoseconds
	 */
	public LoadBalancingRequest(String service, VersionGroup versionGroup, String target, double serverShare,
			PromptSize prompt, Set<String> tried, long permitWaitNanos) {
		this(service, versionGroup, target, serverShare, prompt, tried, permitWaitNanos, ExpectedWork.UNKNOWN);
	}

}
