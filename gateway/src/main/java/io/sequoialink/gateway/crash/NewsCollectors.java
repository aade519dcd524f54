package io.sequoialink.gateway.crash;

import java.util.Comparator;
import java.util.List;
import java.util.function.Supplier;
import java.util.stream.Stream;

import com.dynatrace.hash4j.hashing.Hashing;
import io.sequoialink.gateway.relay.Peer;

/**
 * The few hosts to which every host reports what it lost in crashes of servers, so that
 * each of them can judge the crashes over all hosts. Confined to the event loop. In a
 * small fleet these are all hosts.
 */
final class NewsCollectors {

	/**
	 * Number of hosts that collect reports: enough that some are reachable while others
	 * are down, and few enough that the number of reports does not grow with the fleet.
	 */
	static final int COLLECTORS = 8;

	private final Peer self;

	private final Supplier<List<Peer>> others;

	NewsCollectors(Peer self, Supplier<List<Peer>> others) {
		this.self = self;
		this.others = others;
	}

	/**
	 * Returns the collectors apart from this host.
	 * @return the hosts, drawn alike on all hosts that know the same hosts
	 */
	List<Peer> others() {
		return Stream.concat(this.others.get().stream(), Stream.of(this.self))
			.sorted(Comparator.comparingLong(NewsCollectors::weight))
			.limit(COLLECTORS)
			.filter((peer) -> !peer.host().equals(this.self.host()))
			.toList();
	}

	/**
	 * Returns whether this host is a collector.
	 * @return whether the others report to it
	 */
	boolean includeSelf() {
		return Math.min(COLLECTORS, this.others.get().size() + 1) > others().size();
	}

	/**
	 * Returns a known host.
	 * @param host name of the host
	 * @return the host, {@code null} if it is not known
	 */
	Peer find(String host) {
		return this.others.get().stream().filter((peer) -> peer.host().equals(host)).findAny().orElse(null);
	}

	private static long weight(Peer peer) {
		return Hashing.wyhashFinal4().hashStream().putString(peer.host()).getAsLong();
	}

}
