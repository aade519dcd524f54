package io.sequoialink.membership;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.random.RandomGenerator;

import com.google.protobuf.ByteString;
import io.sequoialink.membership.Member.State;
import io.sequoialink.membership.wire.PeerProtocol;
import io.sequoialink.membership.wire.PeerProtocol.Body;
import io.sequoialink.model.Brake;
import io.sequoialink.model.HostId;

/**
 * The peer protocol of one host, without sockets, threads or a clock: messages and the
 * time go in, messages to send come out. Not thread-safe.
 *
 * <p>
 * Members are probed along {@link WatchRings}; news of members travels on those messages.
 * Brakes and departures are passed on at once to all neighbours by whoever learns them
 * first. Every message carries digests; where they differ, only the difference is
 * exchanged.
 */
final class GossipCore {

	static final int HELPERS = 3;

	static final int SYNC_UPDATES_PER_MESSAGE = 100;

	static final int SYNC_BRAKES_PER_MESSAGE = 8;

	private static final int RETRY_TICKS = 10;

	private static final int JOIN_SEEDS = 3;

	private static final int SETTLED_AGREEMENTS = 8;

	private static final long SYNC_INTERVAL_MILLIS = 1000;

	private static final long PATIENT_SYNC_INTERVAL_MILLIS = 3000;

	private final MemberTable table;

	private final BrakeSet brakes = new BrakeSet();

	private final UpdateQueue queue = new UpdateQueue();

	private final ProbeSchedule probes;

	private final Listening listening;

	private final List<InetSocketAddress> seeds;

	private final RandomGenerator random;

	private final GossipListener listener;

	private final long intervalMillis;

	private long ticks;

	private int agreements;

	private long lastRosterSyncMillis = Long.MIN_VALUE / 2;

	private long lastBrakeSyncMillis = Long.MIN_VALUE / 2;

	private WatchRings rings;

	private long ringsVersion = -1;

	GossipCore(Member self, GossipSettings settings, List<InetSocketAddress> seeds, RandomGenerator random,
			GossipListener listener, long nowMillis) {
		this.table = new MemberTable(self, settings);
		this.probes = new ProbeSchedule(settings);
		this.listening = new Listening(settings, nowMillis);
		this.seeds = List.copyOf(seeds);
		this.random = random;
		this.listener = listener;
		this.intervalMillis = settings.probeInterval().toMillis();
	}

	Member self() {
		return this.table.self().member();
	}

	List<Member> members() {
		return this.table.present();
	}

	List<Brake> brakes() {
		return this.brakes.all();
	}

	/**
	 * Does what is due.
	 * @param nowMillis the time, from a clock that never goes back
	 * @return the messages to send
	 */
	List<Outgoing> tick(long nowMillis) {
		List<Outgoing> out = new ArrayList<>();
		allowForPauses(nowMillis);
		int peers = this.table.present().size() - 1;
		if (!this.listening.isolated(peers, nowMillis)) {
			this.probes.takeFailed(nowMillis)
				.forEach((member) -> this.table.suspect(member.host(), nowMillis).ifPresent(this::news));
			this.table.expire(nowMillis).forEach(this::news);
		}
		this.probes.needingHelp(nowMillis).forEach((probe, target) -> askHelpers(probe, target, out));
		this.probes.next(rings().watched()).ifPresent((target) -> out.add(probe(target, nowMillis)));
		contactMissing(nowMillis, out);
		return out;
	}

	/**
	 * Takes a message in.
	 * @param body an authentic message
	 * @param nowMillis the time
	 * @return the messages to send
	 * @throws RefusedFrameException if the message is not accepted; nothing was changed
	 */
	List<Outgoing> receive(Body body, long nowMillis) throws RefusedFrameException {
		HostId sender = checkSender(body);
		List<MemberUpdate> updates = new ArrayList<>();
		for (PeerProtocol.MemberUpdate update : body.getUpdatesList()) {
			updates.add(WireForms.read(update));
		}
		List<Brake> learnt = new ArrayList<>();
		for (PeerProtocol.BrakeRecord brake : body.getBrakesList()) {
			learnt.add(WireForms.read(brake));
		}
		MemberUpdate indirect = body.hasIndirectPing() ? WireForms.read(body.getIndirectPing().getTarget()) : null;
		this.listening.heard(nowMillis);
		List<Outgoing> out = new ArrayList<>();
		mergeUpdates(sender, updates, nowMillis, out);
		mergeBrakes(sender, learnt, out);
		mergeRevisions(sender, body);
		Optional<MemberUpdate> known = this.table.update(sender);
		if (known.isPresent()) {
			answer(known.get().member(), body, indirect, nowMillis, out);
			compareDigests(known.get().member(), body, nowMillis, out);
		}
		return out;
	}

	/**
	 * Adds a brake of this host.
	 * @param brake the brake
	 * @return the messages to send
	 */
	List<Outgoing> spread(Brake brake) {
		List<Outgoing> out = new ArrayList<>();
		mergeBrakes(self().host(), List.of(WireForms.bounded(brake)), out);
		return out;
	}

	void announceRevision(long revision) {
		this.table.noteRevision(self().host(), revision);
	}

	/**
	 * Marks this host as leaving.
	 * @param nowMillis the time
	 * @return the messages to send
	 */
	List<Outgoing> leave(long nowMillis) {
		MemberUpdate update = this.table.leave(nowMillis);
		return rings().neighbours()
			.stream()
			.map((neighbour) -> outgoing(neighbour, body(neighbour).addUpdates(WireForms.write(update))))
			.toList();
	}

	Outgoing payload(String topic, ByteString data, Member receiver) {
		return outgoing(receiver,
				address(receiver).setPayload(PeerProtocol.Payload.newBuilder().setTopic(topic).setData(data)));
	}

	/**
	 * Returns the member that sent a message.
	 * @param body an accepted message
	 * @return the sender
	 * @throws RefusedFrameException if it is not a member
	 */
	Member sender(Body body) throws RefusedFrameException {
		return this.table.update(WireForms.host(body.getSender()))
			.map(MemberUpdate::member)
			.orElseThrow(() -> new RefusedFrameException(FrameRefusal.UNKNOWN_SENDER, "the sender is not a member"));
	}

	private HostId checkSender(Body body) throws RefusedFrameException {
		HostId sender = WireForms.host(body.getSender());
		boolean toSeed = body.getReceiver().isEmpty() && body.getReceiverIncarnation() == 0;
		boolean toSelf = body.getReceiver().equals(self().host().value())
				&& body.getReceiverIncarnation() == self().incarnation();
		if (!toSelf && !(toSeed && !body.hasPayload()) || sender.equals(self().host())) {
			throw new RefusedFrameException(FrameRefusal.MISADDRESSED,
					"meant for " + body.getReceiver() + " of incarnation " + body.getReceiverIncarnation());
		}
		long known = this.table.update(sender).map((update) -> update.member().incarnation()).orElse(0L);
		if (body.getSenderIncarnation() < known) {
			throw new RefusedFrameException(FrameRefusal.STALE_SENDER, "incarnation " + known + " is known");
		}
		return sender;
	}

	private void allowForPauses(long nowMillis) {
		long paused = this.listening.tick(nowMillis);
		if (paused > 0) {
			this.listener.paused(paused);
		}
		boolean isolated = this.listening.isolated(this.table.present().size() - 1, nowMillis);
		this.listener.isolated(isolated, this.listening.silentMillis(nowMillis));
		if (paused > 0 || isolated) {
			this.table.extendDeadlines(paused + (isolated ? this.intervalMillis : 0));
			this.probes.abandon();
		}
	}

	private void mergeUpdates(HostId sender, List<MemberUpdate> updates, long nowMillis, List<Outgoing> out) {
		boolean bulk = updates.size() > UpdateQueue.MAX_PER_MESSAGE + 2;
		for (MemberUpdate update : updates) {
			if (update.member().host().equals(self().host()) && update.member().incarnation() > self().incarnation()) {
				this.listener.replaced(update.member());
			}
			for (MemberUpdate fresh : this.table.apply(update, nowMillis)) {
				this.listener.memberChanged(fresh.member());
				if (!bulk || fresh.member().host().equals(self().host())) {
					this.queue.add(fresh);
				}
				if (fresh.is(State.LEAVING)) {
					flood(sender, (neighbour) -> body(neighbour).addUpdates(WireForms.write(fresh)), out);
				}
			}
		}
	}

	private void mergeBrakes(HostId sender, List<Brake> learnt, List<Outgoing> out) {
		List<Brake> fresh = learnt.stream().filter(this.brakes::add).toList();
		fresh.forEach(this.listener::brakeLearnt);
		if (!fresh.isEmpty()) {
			List<PeerProtocol.BrakeRecord> records = fresh.stream().map(WireForms::write).toList();
			flood(sender, (neighbour) -> body(neighbour).addAllBrakes(records), out);
		}
	}

	private void mergeRevisions(HostId sender, Body body) {
		this.table.noteRevision(sender, body.getRevision());
		if (body.getRosterDigest() == this.table.rosterDigest()) {
			this.table.noteConfirmed(body.getRevision(), body.getConfirmed().toByteArray());
		}
	}

	private void answer(Member sender, Body body, MemberUpdate indirect, long nowMillis, List<Outgoing> out) {
		switch (body.getContentCase()) {
			case PING -> out.add(ack(sender, body.getPing().getProbe()));
			case ACK -> this.probes.acknowledge(body.getAck().getProbe())
				.ifPresent((relay) -> this.table.update(relay.origin())
					.ifPresent((origin) -> out.add(ack(origin.member(), relay.originProbe()))));
			case INDIRECT_PING -> this.probes.relay(sender.host(), body.getIndirectPing().getProbe(), nowMillis)
				.ifPresent((probe) -> out.add(outgoing(indirect.member(), ping(body(indirect.member()), probe))));
			case ROSTER_SYNC -> answerRosterSync(sender, body.getRosterSync(), out);
			case BRAKE_SYNC -> answerBrakeSync(sender, body.getBrakeSync(), out);
			default -> {
			}
		}
	}

	private void compareDigests(Member sender, Body body, long nowMillis, List<Outgoing> out) {
		boolean otherRoster = body.getRosterDigest() != this.table.rosterDigest();
		this.agreements = otherRoster ? 0 : this.agreements + 1;
		if (this.agreements == SETTLED_AGREEMENTS) {
			this.queue.dropSettled();
		}
		boolean newsUnderWay = !this.queue.isEmpty() && this.table.present().size() > 2;
		long interval = newsUnderWay ? PATIENT_SYNC_INTERVAL_MILLIS : SYNC_INTERVAL_MILLIS;
		if (otherRoster && nowMillis - this.lastRosterSyncMillis >= interval) {
			this.lastRosterSyncMillis = nowMillis;
			out.add(outgoing(sender, body(sender).setRosterSync(rosterSync(false))));
		}
		boolean otherBrakes = body.getBrakeDigest() != this.brakes.digest();
		if (otherBrakes && !body.hasBrakeSync() && nowMillis - this.lastBrakeSyncMillis >= SYNC_INTERVAL_MILLIS) {
			this.lastBrakeSyncMillis = nowMillis;
			out.add(outgoing(sender,
					body(sender).setBrakeSync(PeerProtocol.BrakeSync.newBuilder().addAllHeld(this.brakes.digests()))));
		}
	}

	private void answerRosterSync(Member sender, PeerProtocol.RosterSync sync, List<Outgoing> out) {
		long[] theirs = sync.getBucketsList().stream().mapToLong(Long::longValue).toArray();
		List<PeerProtocol.MemberUpdate> updates = this.table.differing(theirs).stream().map(WireForms::write).toList();
		for (int from = 0; from < updates.size(); from += SYNC_UPDATES_PER_MESSAGE) {
			int to = Math.min(updates.size(), from + SYNC_UPDATES_PER_MESSAGE);
			out.add(outgoing(sender, address(sender).addAllUpdates(updates.subList(from, to))));
		}
		if (!sync.getReply()) {
			out.add(outgoing(sender, address(sender).setRosterSync(rosterSync(true))));
		}
	}

	private void answerBrakeSync(Member sender, PeerProtocol.BrakeSync sync, List<Outgoing> out) {
		List<Brake> missing = new ArrayList<>(this.brakes.withDigests(sync.getWantedList()));
		List<Long> wanted = List.of();
		if (sync.getWantedCount() == 0) {
			missing.addAll(this.brakes.missingFrom(sync.getHeldList()));
			wanted = sync.getHeldList()
				.stream()
				.filter((held) -> !this.brakes.digests().contains(held))
				.distinct()
				.limit(BrakeSet.MAX_BRAKES)
				.toList();
		}
		for (int from = 0; from < missing.size(); from += SYNC_BRAKES_PER_MESSAGE) {
			int to = Math.min(missing.size(), from + SYNC_BRAKES_PER_MESSAGE);
			List<PeerProtocol.BrakeRecord> part = missing.subList(from, to).stream().map(WireForms::write).toList();
			out.add(outgoing(sender, address(sender).addAllBrakes(part)));
		}
		if (!wanted.isEmpty()) {
			out.add(outgoing(sender,
					body(sender).setBrakeSync(PeerProtocol.BrakeSync.newBuilder().addAllWanted(wanted))));
		}
	}

	private PeerProtocol.RosterSync.Builder rosterSync(boolean reply) {
		PeerProtocol.RosterSync.Builder sync = PeerProtocol.RosterSync.newBuilder().setReply(reply);
		for (long digest : this.table.bucketDigests()) {
			sync.addBuckets(digest);
		}
		return sync;
	}

	private void askHelpers(long probe, Member target, List<Outgoing> out) {
		List<Member> helpers = new ArrayList<>(rings().neighbours());
		helpers.remove(target);
		PeerProtocol.IndirectPing request = PeerProtocol.IndirectPing.newBuilder()
			.setProbe(probe)
			.setTarget(WireForms.write(new MemberUpdate(target, 0)))
			.build();
		for (int i = 0; i < HELPERS && !helpers.isEmpty(); i++) {
			Member helper = helpers.remove(this.random.nextInt(helpers.size()));
			out.add(outgoing(helper, body(helper).setIndirectPing(request)));
		}
	}

	private void contactMissing(long nowMillis, List<Outgoing> out) {
		boolean alone = this.table.present().size() == 1;
		boolean due = this.ticks++ % RETRY_TICKS == 0;
		List<InetSocketAddress> missing = new ArrayList<>(this.seeds);
		this.table.present().forEach((member) -> missing.removeIf((seed) -> isAt(member, seed)));
		for (int i = 0; i < JOIN_SEEDS && !missing.isEmpty() && (alone || due && i == 0); i++) {
			InetSocketAddress seed = missing.remove(this.random.nextInt(missing.size()));
			out.add(new Outgoing(seed.getHostString(), seed.getPort(), ping(header(), 0).build()));
		}
		List<MemberUpdate> dead = due ? this.table.dead() : List.of();
		if (!dead.isEmpty()) {
			out.add(probe(dead.get(this.random.nextInt(dead.size())).member(), nowMillis));
		}
	}

	private static boolean isAt(Member member, InetSocketAddress address) {
		return member.port() == address.getPort() && member.ip().equals(address.getHostString());
	}

	private Outgoing probe(Member target, long nowMillis) {
		return outgoing(target, ping(body(target), this.probes.start(target, nowMillis)));
	}

	private Body.Builder ping(Body.Builder body, long probe) {
		return body.addUpdates(WireForms.write(this.table.self()))
			.setPing(PeerProtocol.Ping.newBuilder().setProbe(probe));
	}

	private Outgoing ack(Member receiver, long probe) {
		return outgoing(receiver, body(receiver).setAck(PeerProtocol.Ack.newBuilder().setProbe(probe)));
	}

	private void flood(HostId except, Function<Member, Body.Builder> message, List<Outgoing> out) {
		rings().neighbours()
			.stream()
			.filter((neighbour) -> !neighbour.host().equals(except))
			.forEach((neighbour) -> out.add(outgoing(neighbour, message.apply(neighbour))));
	}

	private void news(MemberUpdate update) {
		this.queue.add(update);
		this.listener.memberChanged(update.member());
	}

	private WatchRings rings() {
		if (this.ringsVersion != this.table.rosterVersion()) {
			this.rings = WatchRings.of(self(), this.table.present());
			this.ringsVersion = this.table.rosterVersion();
		}
		return this.rings;
	}

	private Body.Builder body(Member receiver) {
		Body.Builder body = address(receiver);
		this.table.update(receiver.host())
			.filter((update) -> !update.is(State.ALIVE))
			.ifPresent((update) -> body.addUpdates(WireForms.write(update)));
		this.queue.take(this.table.present().size()).forEach((update) -> body.addUpdates(WireForms.write(update)));
		return body;
	}

	private Body.Builder address(Member receiver) {
		return header().setReceiver(receiver.host().value()).setReceiverIncarnation(receiver.incarnation());
	}

	private Body.Builder header() {
		long revision = self().viewRevision();
		return Body.newBuilder()
			.setSender(self().host().value())
			.setSenderIncarnation(self().incarnation())
			.setRosterDigest(this.table.rosterDigest())
			.setBrakeDigest(this.brakes.digest())
			.setRevision(revision)
			.setConfirmed(ByteString.copyFrom(this.table.confirmed(revision)));
	}

	private static Outgoing outgoing(Member receiver, Body.Builder body) {
		return new Outgoing(receiver.ip(), receiver.port(), body.build());
	}

}
