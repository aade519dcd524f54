package io.sequoialink.gateway.count;

/**
 * What a host has done since its start. Confined to the event loop.
 *
 * @param requests ended requests by route, account, outcome and whether they ran
 * @param sends ended sends by service, version and outcome
 * @param first time from a request's receipt to the first part of its answer, by route
 * @param storeCalls calls to the platform's store by topic and outcome
 * @param toldReads stretches that other hosts told of, by topic and outcome
 */
public record GatewayCounts(LabelledCounts requests, LabelledCounts sends, Times first, LabelledCounts storeCalls,
		LabelledCounts toldReads) {

	/**
	 * Creates counts that are all 0.
	 */
	public GatewayCounts() {
		this(new LabelledCounts("route", "account", "outcome", "ran"),
				new LabelledCounts("service", "version", "outcome"), new Times(),
				new LabelledCounts("topic", "outcome"), new LabelledCounts("topic", "outcome"));
	}

}
