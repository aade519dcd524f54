package io.sequoialink.daemon.http;

import java.util.List;

/**
 * What a withdrawal reached. Immutable and thread-safe.
 *
 * @param offset offset of the last accepted change, -1 if there was none
 * @param versions the withdrawn versions
 * @param inForce hosts that have confirmed that they folded it
 * @param notConfirmed hosts that have not; they refuse new work once their view is older
 * than the freshness bound
 */
public record WithdrawReport(long offset, List<String> versions, List<String> inForce, List<String> notConfirmed) {

	public WithdrawReport {
		versions = List.copyOf(versions);
		inForce = List.copyOf(inForce);
		notConfirmed = List.copyOf(notConfirmed);
	}

}
