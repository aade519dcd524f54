package io.sequoialink.gateway.crash;

import java.util.List;
import java.util.Map;
import java.util.Set;

import io.sequoialink.decision.crash.CulpritState;
import io.sequoialink.decision.crash.Involvement;
import io.sequoialink.decision.crash.TraitState;

/**
 * What one host tells others of crashes of servers and of the traits of requests that may
 * be their reason. Immutable.
 *
 * @param sender name of the host
 * @param crashes what it lost in crashes of servers
 * @param states what it knows of suspected traits
 * @param culprits the traits that crash servers
 */
record TraitNews(String sender, List<LostTraits> crashes, Map<Long, TraitState> states, List<Culprit> culprits) {

	/**
	 * Traits of the requests that a host lost in the crash of one server before their
	 * responses had begun. Immutable.
	 *
	 * @param server hash of the server's incarnation
	 * @param atNanos monotonic time of the crash
	 * @param involved how requests with each trait were involved; none if the host only
	 * passes on that the server crashed
	 * @param labels texts that name the traits in log lines
	 */
	record LostTraits(long server, long atNanos, Map<Long, Involvement> involved, Map<Long, String> labels) {
	}

	/**
	 * Traits that crash servers together. Immutable.
	 *
	 * @param traits the traits
	 * @param state number and time of the crashes
	 * @param label text for log lines
	 */
	record Culprit(Set<Long> traits, CulpritState state, String label) {
	}

}
