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
 * Splits the fleet's limits between hosts by their announced demand.
 * <p>
 * Invariants: while announcements arrive within the settling time, the shares of hosts
 * with the same members sum to at most 1, since a higher own demand counts only after it
 * was announced that long ago and a lower one at once. When peers are silent, a share
 * stays at most the larger of what it was before and 1/n, so all shares sum to at most 2.
 * Not thread-safe: guarded by its policy's lock.
 */
final class DemandShares {

	/** The most keys of one announcement. */
	static final int MAX_KEYS = 2048;

	private static final double MIN_DEMAND = 1e-3;

	/** Time within which an announcement may overtake another of the same host. */
	private static final long REORDER_MILLIS = 2_000;

	private final HostId self;

	private final Supplier<List<HostId>> members;

	private final LimitSettings settings;

	private final Map<String, Demand> own = new HashMap<>();

	private final Map<HostId, Announcement> peers = new HashMap<>();

	private final Map<String, Double> confirmed = new HashMap<>();

	private long sequence;

	DemandShares(HostId self, Supplier<List<HostId>> members, LimitSettings settings) {
		this.self = self;
		this.members = members;
		this.settings = settings;
	}

	// Counts one offered request, admitted or not.
	void offered(String key, long nowMillis) {
		this.own.computeIfAbsent(key, (absent) -> new Demand(nowMillis))
			.add(1, nowMillis, this.settings.demandHalfLifeMillis());
	}

	// Returns this host's share in (0, 1] of the limits of a key.
	double share(String key, long nowMillis) {
		List<HostId> live = this.members.get();
		int hosts = Math.max(1, live.size());
		double even = 1.0 / hosts;
		if (hosts == 1) {
			return 1;
		}
		double others = 0;
		int unheard = 0;
		boolean silent = false;
		for (HostId host : live) {
			Announcement peer = this.peers.get(host);
			if (!host.equals(this.self)) {
				silent |= peer == null || nowMillis - peer.receivedAtMillis > this.settings.silentMillis();
				unheard += (peer != null) ? 0 : 1;
				others += (peer != null) ? Math.max(MIN_DEMAND, peer.demands.getOrDefault(key, 0.0)) : 0;
			}
		}
		double mine = Math.max(MIN_DEMAND, settled(key, nowMillis));
		double byDemand = mine / (mine + others) * (hosts - unheard) / hosts;
		double wanted = this.settings.evenShare() * even + (1 - this.settings.evenShare()) * byDemand;
		if (silent) {
			return Math.min(wanted, Math.max(even, this.confirmed.getOrDefault(key, even)));
		}
		this.confirmed.put(key, wanted);
		return wanted;
	}

	private double settled(String key, long nowMillis) {
		Demand demand = this.own.get(key);
		return (demand != null) ? demand.settled(nowMillis, this.settings) : 0;
	}

	// Announces this host's demand; to be sent to all members about twice a second.
	byte[] announce(long nowMillis) {
		this.own.values()
			.removeIf((demand) -> demand.rate(nowMillis, this.settings.demandHalfLifeMillis()) < MIN_DEMAND
					&& demand.settled(nowMillis, this.settings) < MIN_DEMAND);
		this.confirmed.keySet().retainAll(this.own.keySet());
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		DataOutputStream out = new DataOutputStream(bytes);
		try {
			out.writeUTF(this.self.value());
			out.writeLong(++this.sequence);
			out.writeShort(Math.min(MAX_KEYS, this.own.size()));
			int written = 0;
			for (Map.Entry<String, Demand> entry : this.own.entrySet()) {
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

	// Takes an announcement; a malformed one or one of this host changes nothing.
	void merge(byte[] payload, long nowMillis) {
		DataInputStream in = new DataInputStream(new ByteArrayInputStream(payload));
		try {
			HostId host = new HostId(in.readUTF());
			long number = in.readLong();
			Announcement last = this.peers.get(host);
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
				this.peers.put(host, new Announcement(demands, number, nowMillis));
			}
			this.peers.keySet().retainAll(this.members.get());
		}
		catch (IOException | IllegalArgumentException ex) {
			// A malformed announcement counts as none.
		}
	}

	/** The last announcement of a peer. Immutable. */
	private record Announcement(Map<String, Double> demands, long sequence, long receivedAtMillis) {
	}

	/** Own demand for one key. Guarded by the policy's lock. */
	private static final class Demand {

		private final Deque<double[]> announced = new ArrayDeque<>();

		private double weight;

		private long atMillis;

		private Demand(long nowMillis) {
			this.atMillis = nowMillis;
		}

		private void add(double amount, long nowMillis, long halfLifeMillis) {
			this.weight = decayed(nowMillis, halfLifeMillis) + amount;
			this.atMillis = nowMillis;
		}

		private double decayed(long nowMillis, long halfLifeMillis) {
			return this.weight * Math.pow(0.5, Math.max(0, nowMillis - this.atMillis) / (double) halfLifeMillis);
		}

		private double rate(long nowMillis, long halfLifeMillis) {
			return decayed(nowMillis, halfLifeMillis) * Math.log(2) * 1000 / halfLifeMillis;
		}

		private double announce(long nowMillis, LimitSettings settings) {
			double rate = rate(nowMillis, settings.demandHalfLifeMillis());
			this.announced.addLast(new double[] { nowMillis, rate });
			settled(nowMillis, settings);
			return rate;
		}

		// Returns the least of what was announced within the settling time and the last
		// before it.
		private double settled(long nowMillis, LimitSettings settings) {
			long since = nowMillis - settings.settleMillis();
			while (this.announced.size() > 1 && secondTime() <= since) {
				this.announced.removeFirst();
			}
			if (this.announced.isEmpty() || this.announced.peekFirst()[0] > since) {
				return 0;
			}
			return this.announced.stream().mapToDouble((entry) -> entry[1]).min().orElse(0);
		}

		private double secondTime() {
			return this.announced.stream().skip(1).findFirst().orElseThrow()[0];
		}

	}

}
