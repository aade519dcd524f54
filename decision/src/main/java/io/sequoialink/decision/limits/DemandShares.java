package io.sequoialink.decision.limits;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import io.sequoialink.model.HostId;

/**
 * Splits fleet-wide limits between the hosts in proportion to the demand (request rate)
 * that they announce to each other. A key names what is limited: a client account, or all
 * backend servers together. The share of a host is the fraction of the limit that this
 * host may use.
 * <p>
 * Invariants: while announcements arrive within {@link LimitSettings#settleMillis()}, the
 * shares of hosts that know the same members sum up to at most 1, because an increase of
 * a host's own demand takes effect only when that time has passed since its announcement,
 * and a decrease takes effect at once. When a peer is silent, a share is at most the
 * larger of 1/n and its value before the silence, so that all shares sum up to at most 2.
 * Not thread-safe: guarded by the lock of its policy.
 */
final class DemandShares {

	/**
	 * Maximum number of keys (client accounts and the pool of backend servers) whose
	 * demand is contained in one announcement.
	 */
	static final int MAX_KEYS = 2048;

	private static final double MIN_DEMAND = 1e-3;

	/**
	 * Time after an announcement, in milliseconds, in which one of the same host without
	 * a higher sequence number is ignored as reordered; later ones are accepted, since a
	 * restarted host counts from 1 again.
	 */
	private static final long REORDER_MILLIS = 2_000;

	private final HostId self;

	private final Supplier<List<HostId>> members;

	private final LimitSettings settings;

	private final Map<String, Demand> ownDemands = new HashMap<>();

	private final Map<HostId, Announcement> peerAnnouncements = new HashMap<>();

	private final Map<String, Double> lastSharesWithAllPeers = new HashMap<>();

	private long sequence;

	DemandShares(HostId self, Supplier<List<HostId>> members, LimitSettings settings) {
		this.self = self;
		this.members = members;
		this.settings = settings;
	}

	// Counts one incoming request, whether it is admitted or not.
	void recordOffered(String key, long nowMillis) {
		this.ownDemands.computeIfAbsent(key, (absent) -> new Demand(nowMillis))
			.add(1, nowMillis, this.settings.demandHalfLifeMillis());
	}

	// Returns this host's share in (0, 1] of the limits of a key.
	double share(String key, long nowMillis) {
		List<HostId> liveHosts = this.members.get();
		int hosts = Math.max(1, liveHosts.size());
		double even = 1.0 / hosts;
		if (hosts == 1) {
			return 1;
		}
		double peerDemand = 0;
		int unknownPeers = 0;
		boolean anySilent = false;
		for (HostId host : liveHosts) {
			Announcement peer = this.peerAnnouncements.get(host);
			if (!host.equals(this.self)) {
				anySilent |= peer == null || nowMillis - peer.receivedAtMillis > this.settings.silentMillis();
				unknownPeers += (peer != null) ? 0 : 1;
				peerDemand += (peer != null) ? Math.max(MIN_DEMAND, peer.demands.getOrDefault(key, 0.0)) : 0;
			}
		}
		double ownDemand = Math.max(MIN_DEMAND, confirmedDemand(key, nowMillis));
		double byDemand = ownDemand / (ownDemand + peerDemand) * (hosts - unknownPeers) / hosts;
		double wantedShare = this.settings.evenShare() * even + (1 - this.settings.evenShare()) * byDemand;
		if (anySilent) {
			return Math.min(wantedShare, Math.max(even, this.lastSharesWithAllPeers.getOrDefault(key, even)));
		}
		this.lastSharesWithAllPeers.put(key, wantedShare);
		return wantedShare;
	}

	private double confirmedDemand(String key, long nowMillis) {
		Demand demand = this.ownDemands.get(key);
		return (demand != null) ? demand.confirmed(nowMillis, this.settings) : 0;
	}

	// Returns an announcement of this host's demand, to be sent to all members about
	// twice a second.
	byte[] announce(long nowMillis) {
		this.ownDemands.values()
			.removeIf((demand) -> demand.rate(nowMillis, this.settings.demandHalfLifeMillis()) < MIN_DEMAND
					&& demand.confirmed(nowMillis, this.settings) < MIN_DEMAND);
		this.lastSharesWithAllPeers.keySet().retainAll(this.ownDemands.keySet());
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		DataOutputStream out = new DataOutputStream(bytes);
		try {
			out.writeUTF(this.self.value());
			out.writeLong(++this.sequence);
			out.writeShort(Math.min(MAX_KEYS, this.ownDemands.size()));
			int written = 0;
			for (Map.Entry<String, Demand> entry : this.ownDemands.entrySet()) {
				double rate = entry.getValue().announce(nowMillis, this.settings);
				if (written++ < MAX_KEYS) {
					out.writeUTF(entry.getKey());
					out.writeFloat((float) rate);
				}
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return bytes.toByteArray();
	}

	// Applies an announcement of a peer; ignores a malformed one and one of this host.
	void merge(byte[] payload, long nowMillis) {
		DataInputStream in = new DataInputStream(new ByteArrayInputStream(payload));
		try {
			HostId host = new HostId(in.readUTF());
			long number = in.readLong();
			Announcement last = this.peerAnnouncements.get(host);
			if (last != null && last.sequence >= number && nowMillis - last.receivedAtMillis < REORDER_MILLIS) {
				return;
			}
			Map<String, Double> demands = new HashMap<>();
			int size = Math.min(MAX_KEYS, in.readUnsignedShort());
			for (int i = 0; i < size; i++) {
				String key = in.readUTF();
				demands.put(key, Math.max(0, (double) in.readFloat()));
			}
			if (!host.equals(this.self)) {
				this.peerAnnouncements.put(host, new Announcement(demands, number, nowMillis));
			}
			this.peerAnnouncements.keySet().retainAll(this.members.get());
		}
		catch (IOException | IllegalArgumentException ex) {
			// A malformed announcement is ignored.
		}
	}

	/** The last announcement of a peer: its request rate per second by key. Immutable. */
	private record Announcement(Map<String, Double> demands, long sequence, long receivedAtMillis) {
	}

	/**
	 * Rate of the requests at this host for one key, with the rates announced recently.
	 * Guarded by the policy's lock.
	 */
	private static final class Demand {

		private final Deque<double[]> announcedRates = new ArrayDeque<>();

		private double decayedCount;

		private long updatedAtMillis;

		private Demand(long nowMillis) {
			this.updatedAtMillis = nowMillis;
		}

		private void add(double amount, long nowMillis, long halfLifeMillis) {
			this.decayedCount = decayed(nowMillis, halfLifeMillis) + amount;
			this.updatedAtMillis = nowMillis;
		}

		private double decayed(long nowMillis, long halfLifeMillis) {
			return this.decayedCount
					* Math.pow(0.5, Math.max(0, nowMillis - this.updatedAtMillis) / (double) halfLifeMillis);
		}

		private double rate(long nowMillis, long halfLifeMillis) {
			return decayed(nowMillis, halfLifeMillis) * Math.log(2) * 1000 / halfLifeMillis;
		}

		private double announce(long nowMillis, LimitSettings settings) {
			double rate = rate(nowMillis, settings.demandHalfLifeMillis());
			this.announcedRates.addLast(new double[] { nowMillis, rate });
			confirmed(nowMillis, settings);
			return rate;
		}

		// Returns the minimum of the rates announced within the last settleMillis and of
		// the last rate announced before; 0 if there is no such earlier announcement.
		private double confirmed(long nowMillis, LimitSettings settings) {
			long since = nowMillis - settings.settleMillis();
			while (this.announcedRates.size() > 1 && secondAnnouncementMillis() <= since) {
				this.announcedRates.removeFirst();
			}
			if (this.announcedRates.isEmpty() || this.announcedRates.peekFirst()[0] > since) {
				return 0;
			}
			return this.announcedRates.stream().mapToDouble((entry) -> entry[1]).min().orElse(0);
		}

		private double secondAnnouncementMillis() {
			return this.announcedRates.stream().skip(1).findFirst().orElseThrow()[0];
		}

	}

}
