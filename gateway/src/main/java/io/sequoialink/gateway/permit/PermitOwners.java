package io.sequoialink.gateway.permit;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.dynatrace.hash4j.hashing.Hashing;
import io.sequoialink.decision.limits.PermitIssuer;
import io.sequoialink.gateway.relay.Peer;

/**
 * The known hosts, and which of them owns a slice of a server's limit. Confined to the
 * event loop.
 *
 * <p>
 * Rendezvous hashing draws the owner, so hosts that know the same hosts agree without a
 * message, and a change of one host moves only the slices that it owned.
 */
final class PermitOwners {

	/** Age from which the list of hosts is read again, in nanoseconds. */
	private static final long REFRESH_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final int MAX_CACHED = 16_384;

	private final Peer self;

	private final Supplier<List<Peer>> others;

	private final Map<PermitIssuer.Key, Peer> owners = new HashMap<>();

	private Map<String, Peer> hosts = Map.of();

	private long refreshedNanos;

	PermitOwners(Peer self, Supplier<List<Peer>> others) {
		this.self = self;
		this.others = others;
	}

	/**
	 * Returns the owner of a slice.
	 * @param key server and slice
	 * @param nowNanos current monotonic time in nanoseconds
	 * @return the host, possibly this one
	 */
	Peer owner(PermitIssuer.Key key, long nowNanos) {
		refresh(nowNanos);
		if (this.owners.size() >= MAX_CACHED) {
			this.owners.clear();
		}
		return this.owners.computeIfAbsent(key, (each) -> draw(each, this.hosts.values()));
	}

	private static Peer draw(PermitIssuer.Key key, Collection<Peer> hosts) {
		Peer owner = null;
		long most = 0;
		for (Peer host : hosts) {
			long weight = Hashing.wyhashFinal4()
				.hashStream()
				.putLong(key.server())
				.putInt(key.slice())
				.putString(host.host())
				.getAsLong();
			if (owner == null || weight > most) {
				owner = host;
				most = weight;
			}
		}
		return owner;
	}

	/**
	 * Returns all known hosts.
	 * @param nowNanos current monotonic time in nanoseconds
	 * @return the hosts, this one included
	 */
	Collection<Peer> hosts(long nowNanos) {
		refresh(nowNanos);
		return this.hosts.values();
	}

	int hostCount(long nowNanos) {
		refresh(nowNanos);
		return this.hosts.size();
	}

	/**
	 * Returns a host.
	 * @param host name of the host
	 * @param nowNanos current monotonic time in nanoseconds
	 * @return the host, {@code null} if it is not known
	 */
	Peer host(String host, long nowNanos) {
		refresh(nowNanos);
		return this.hosts.get(host);
	}

	private void refresh(long nowNanos) {
		if (!this.hosts.isEmpty() && nowNanos - this.refreshedNanos < REFRESH_NANOS) {
			return;
		}
		this.refreshedNanos = nowNanos;
		Map<String, Peer> known = new TreeMap<>();
		this.others.get().forEach((peer) -> known.put(peer.host(), peer));
		known.put(this.self.host(), this.self);
		if (!known.equals(this.hosts)) {
			this.hosts = known;
			this.owners.clear();
		}
	}

}
