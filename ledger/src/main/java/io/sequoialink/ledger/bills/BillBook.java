package io.sequoialink.ledger.bills;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.sequoialink.ledger.BillJournal.Safety;
import io.sequoialink.ledger.bills.BillPeers.Process;
import io.sequoialink.ledger.wire.BillProtocol;
import io.sequoialink.ledger.wire.BillProtocol.BillMessage;
import io.sequoialink.model.HostId;

/**
 * The bills that one host holds: its own, and copies of others'. A state machine without
 * threads, sockets or a clock; not thread-safe. Invariants: an own bill is held until the
 * log has it; a copy is held until its origin says that the log has it, or until this
 * host has appended it after the origin was given up.
 */
final class BillBook {

	static final int MAX_COPIES_PER_MESSAGE = 200;

	private static final int RELEASES = 3;

	private final TreeMap<Long, Own> own = new TreeMap<>();

	private final Map<Process, TreeMap<Long, byte[]>> copies = new HashMap<>();

	private final Process self;

	private final BillSettings settings;

	private final long copyTimeoutMillis;

	private long lastNumber;

	private long loggedThrough;

	private int copyCount;

	private final TreeMap<Long, Own> unconfirmed = new TreeMap<>();

	private final Set<Process> unresponsive = new HashSet<>();

	private final Map<HostId, Long> sentThrough = new HashMap<>();

	private final Map<HostId, Integer> releasesDue = new HashMap<>();

	private List<Process> holders = List.of();

	BillBook(Process self, BillSettings settings) {
		this.self = self;
		this.settings = settings;
		this.copyTimeoutMillis = settings.copyTimeout().toMillis();
	}

	long add(byte[] payload) {
		this.lastNumber++;
		Own bill = new Own(payload);
		this.own.put(this.lastNumber, bill);
		this.unconfirmed.put(this.lastNumber, bill);
		return this.lastNumber;
	}

	Safety safety(long number) {
		Own bill = this.own.get(number);
		if (bill == null) {
			return Safety.LOGGED;
		}
		return (bill.holder != null) ? Safety.COPIED : Safety.LOCAL;
	}

	boolean accepting() {
		return this.own.size() < this.settings.maxHeld();
	}

	int ownCount() {
		return this.own.size();
	}

	int localCount() {
		return this.unconfirmed.size();
	}

	int copyCount() {
		return this.copyCount;
	}

	/**
	 * Returns the copies that must be sent now: new ones, ones without a receipt, and
	 * ones whose holder was given up.
	 * @param newHolders possible holders, best first
	 * @param nowMillis the time
	 * @return the message, or empty if there is none
	 */
	Optional<Message> offer(List<Process> newHolders, long nowMillis) {
		noteHolders(newHolders);
		Optional<Process> holder = chooseHolder(nowMillis);
		if (holder.isEmpty()) {
			return Optional.empty();
		}
		BillMessage.Builder message = message();
		this.unconfirmed.forEach((number, bill) -> {
			if (bill.isDue(nowMillis - this.copyTimeoutMillis) && message.getCopiesCount() < MAX_COPIES_PER_MESSAGE) {
				bill.sentAtMillis = nowMillis;
				message.addCopies(
						BillProtocol.Copy.newBuilder().setNumber(number).setPayload(ByteString.copyFrom(bill.payload)));
			}
		});
		if (message.getCopiesCount() == 0) {
			return Optional.empty();
		}
		long last = message.getCopies(message.getCopiesCount() - 1).getNumber();
		this.sentThrough.merge(holder.get().host(), last, Math::max);
		this.releasesDue.put(holder.get().host(), RELEASES);
		return Optional.of(new Message(holder.get().host(), message.build()));
	}

	/**
	 * Takes a message of a peer in.
	 * @param sender the peer
	 * @param bytes the message
	 * @return the answer, or empty if there is none
	 * @throws InvalidProtocolBufferException if it is malformed; nothing was changed
	 */
	Optional<Message> receive(HostId sender, byte[] bytes) throws InvalidProtocolBufferException {
		BillMessage message = BillMessage.parseFrom(bytes);
		Process origin = new Process(sender, message.getIncarnation());
		release(origin, message.getLoggedThrough());
		if (message.getHeldOf() == this.self.incarnation()) {
			message.getHeldList().forEach((number) -> confirm(number, origin));
		}
		BillMessage.Builder answer = message().setHeldOf(origin.incarnation());
		for (BillProtocol.Copy copy : message.getCopiesList()) {
			if (hold(origin, copy, message.getLoggedThrough())) {
				answer.addHeld(copy.getNumber());
			}
		}
		return (answer.getHeldCount() > 0) ? Optional.of(new Message(sender, answer.build())) : Optional.empty();
	}

	/**
	 * Returns the bills to append next: own ones, and copies whose origin was given up.
	 * @param present tells which origins are members
	 * @return the batch, empty if there is nothing to append
	 */
	Batch nextBatch(Predicate<Process> present) {
		Batch batch = new Batch(this.settings.maxBatchBytes());
		this.own.forEach((number, bill) -> batch.add(this.self, number, bill.payload));
		this.copies.forEach((origin, bills) -> {
			if (!present.test(origin)) {
				bills.forEach((number, payload) -> batch.add(origin, number, payload));
			}
		});
		return batch;
	}

	/**
	 * Notes that the log has a batch.
	 * @param batch the batch
	 * @return messages that tell the holders
	 */
	List<Message> logged(Batch batch) {
		batch.through.forEach((origin, number) -> {
			if (!origin.equals(this.self)) {
				release(origin, number);
			}
		});
		Long through = batch.through.get(this.self);
		if (through == null) {
			return List.of();
		}
		this.loggedThrough = Math.max(this.loggedThrough, through);
		this.own.headMap(through, true).clear();
		this.unconfirmed.headMap(through, true).clear();
		List<Message> releases = this.releasesDue.keySet()
			.stream()
			.map((host) -> new Message(host, message().build()))
			.toList();
		this.releasesDue.replaceAll((host, due) -> (this.sentThrough.get(host) <= this.loggedThrough) ? due - 1 : due);
		this.releasesDue.values().removeIf((due) -> due == 0);
		this.sentThrough.keySet().retainAll(this.releasesDue.keySet());
		return releases;
	}

	private void noteHolders(List<Process> newHolders) {
		if (newHolders.equals(this.holders)) {
			return;
		}
		this.holders = List.copyOf(newHolders);
		this.own.forEach((number, bill) -> {
			if (bill.holder != null && !this.holders.contains(bill.holder)) {
				bill.holder = null;
				bill.sentAtMillis = Own.NEVER;
				this.unconfirmed.put(number, bill);
			}
		});
	}

	private Optional<Process> chooseHolder(long nowMillis) {
		Optional<Process> current = firstResponsive();
		boolean unanswered = !this.unconfirmed.isEmpty()
				&& this.unconfirmed.firstEntry().getValue().isUnanswered(nowMillis - this.copyTimeoutMillis);
		if (current.isPresent() && unanswered) {
			this.unresponsive.add(current.get());
		}
		if (this.unresponsive.containsAll(this.holders)) {
			this.unresponsive.clear();
		}
		return firstResponsive();
	}

	private Optional<Process> firstResponsive() {
		return this.holders.stream().filter((one) -> !this.unresponsive.contains(one)).findFirst();
	}

	private void confirm(long number, Process by) {
		Own bill = this.own.get(number);
		if (bill != null) {
			bill.holder = by;
			this.unconfirmed.remove(number);
		}
	}

	private boolean hold(Process origin, BillProtocol.Copy copy, long originLoggedThrough) {
		if (copy.getNumber() <= originLoggedThrough) {
			return false;
		}
		TreeMap<Long, byte[]> held = this.copies.computeIfAbsent(origin, (missing) -> new TreeMap<>());
		if (held.containsKey(copy.getNumber())) {
			return true;
		}
		if (this.copyCount >= this.settings.maxHeld()) {
			return false;
		}
		held.put(copy.getNumber(), copy.getPayload().toByteArray());
		this.copyCount++;
		return true;
	}

	private void release(Process origin, long through) {
		TreeMap<Long, byte[]> held = this.copies.get(origin);
		if (held == null) {
			return;
		}
		Map<Long, byte[]> done = held.headMap(through, true);
		this.copyCount -= done.size();
		done.clear();
		if (held.isEmpty()) {
			this.copies.remove(origin);
		}
	}

	private BillMessage.Builder message() {
		return BillMessage.newBuilder().setIncarnation(this.self.incarnation()).setLoggedThrough(this.loggedThrough);
	}

	/**
	 * A message to a peer. Immutable and thread-safe.
	 *
	 * @param receiver the peer
	 * @param body the message
	 */
	record Message(HostId receiver, BillMessage body) {
	}

	/** Bills that go into one append. Not thread-safe. */
	static final class Batch {

		private final List<byte[]> payloads = new ArrayList<>();

		private final Map<Process, Long> through = new HashMap<>();

		private final int maxBytes;

		private int bytes;

		private boolean full;

		private Batch(int maxBytes) {
			this.maxBytes = maxBytes;
		}

		List<byte[]> payloads() {
			return this.payloads;
		}

		boolean hasOrphans(Process self) {
			return this.through.keySet().stream().anyMatch((origin) -> !origin.equals(self));
		}

		private void add(Process origin, long number, byte[] payload) {
			this.full |= !this.payloads.isEmpty() && this.bytes + payload.length > this.maxBytes;
			if (!this.full) {
				this.payloads.add(payload);
				this.through.put(origin, number);
				this.bytes += payload.length;
			}
		}

	}

	/** A bill of this host. */
	private static final class Own {

		private static final long NEVER = Long.MIN_VALUE;

		private final byte[] payload;

		private long sentAtMillis = NEVER;

		private Process holder;

		private Own(byte[] payload) {
			this.payload = payload;
		}

		private boolean isDue(long sentBeforeMillis) {
			return this.sentAtMillis <= sentBeforeMillis;
		}

		private boolean isUnanswered(long sentBeforeMillis) {
			return this.sentAtMillis != NEVER && isDue(sentBeforeMillis);
		}

	}

}
