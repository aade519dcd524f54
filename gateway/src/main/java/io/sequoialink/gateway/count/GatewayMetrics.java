package io.sequoialink.gateway.count;

/**
 * Metrics of a host since its start. Confined to the event loop.
 *
 * @param requests number of completed requests by route, account, outcome and whether
 * they were executed
 * @param attempts number of completed attempts by service, version and outcome
 * @param firstPartTimes time from the receipt of a request to the first part of its
 * response, by route
 * @param storeCalls number of calls to the platform's store by topic and outcome
 * @param forwardedReads number of batches of records that other hosts forwarded, by topic
 * and outcome
 * @param permits number of decisions on permits for limited servers, by server
 * incarnation and outcome
 * @param tunnels number of connections to servers that other hosts were asked for, by
 * outcome
 * @param unexpectedHeads number of heads of responses that no request took, by reason
 * @param ignoredLoadReports number of malformed load reports of servers, by service
 * @param refusedForRoom number of requests rejected because their service was short of
 * capacity, by service and priority
 */
public record GatewayMetrics(LabelledCounters requests, LabelledCounters attempts, DurationHistograms firstPartTimes,
		LabelledCounters storeCalls, LabelledCounters forwardedReads, LabelledCounters permits,
		LabelledCounters tunnels, LabelledCounters unexpectedHeads, LabelledCounters ignoredLoadReports,
		LabelledCounters refusedForRoom) {

	/**
	 * Creates metrics that are all 0.
	 */
	public GatewayMetrics() {
		this(new LabelledCounters("route", "account", "outcome", "ran"),
				new LabelledCounters("service", "version", "outcome"), new DurationHistograms(),
				new LabelledCounters("topic", "outcome"), new LabelledCounters("topic", "outcome"),
				new LabelledCounters("server", "outcome"), new LabelledCounters("outcome"),
				new LabelledCounters("reason"), new LabelledCounters("service"),
				new LabelledCounters("service", "priority"));
	}

}
