package io.sequoialink.membership;

/**
 * The numbered log events of this module, listed in {@code docs/EVENTS.md}.
 */
final class MembershipEvents {

	static final String STARTED = "SL-2301 peer port open: host {}, incarnation {}, {}:{}, zone {}";

	static final String MEMBER_CHANGED = "SL-2302 member {} (incarnation {}, zone {}) is {}";

	static final String FRAME_REFUSED = "SL-2303 peer message from {} refused: {} ({}); {} refused so far";

	static final String ISOLATED = "SL-2304 no peer was heard for {} ms; nobody is suspected until a peer is heard or the isolation limit is over";

	static final String PAUSED = "SL-2305 this host was paused for {} ms; deadlines are extended";

	static final String BRAKE_LEARNT = "SL-2306 brake on {} {}: {} (set by {} at revision {})";

	static final String REPLACED = "SL-2307 a newer process uses the identifier of this host {}: incarnation {} at {}:{}";

	static final String CONSUMER_FAILED = "SL-2308 the consumer of peer topic {} failed";

	static final String SEND_DROPPED = "SL-2309 message to {}:{} dropped: {}; {} dropped so far";

	static final String LEFT = "SL-2310 host {} has left";

	private MembershipEvents() {
	}

}
