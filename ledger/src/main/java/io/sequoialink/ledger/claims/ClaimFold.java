package io.sequoialink.ledger.claims;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.UnaryOperator;

import io.sequoialink.ledger.ClaimKey;
import io.sequoialink.remote.LogRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The fold of the stream of claims, a deterministic state machine over its records. A
 * claim wins if no other claim of its key stands in the window before it; a claim stands
 * until it is released or older than the window by the log's clock. A losing claim stands
 * too until its host releases it, so that the verdict on a claim depends only on the
 * records of the window before it, wherever a reader began. Not thread-safe.
 */
final class ClaimFold {

	private static final Logger logger = LoggerFactory.getLogger(ClaimFold.class);

	private final long windowMillis;

	private final Map<ClaimKey, List<Standing>> standing = new HashMap<>();

	private final Set<String> released = new HashSet<>();

	private final Deque<Expiry> expiries = new ArrayDeque<>();

	private long next;

	private long logMillis;

	ClaimFold(long windowMillis, long next) {
		this.windowMillis = windowMillis;
		this.next = next;
	}

	/**
	 * Returns the offset of the record to fold next.
	 * @return an offset
	 */
	long next() {
		return this.next;
	}

	/**
	 * Returns the keys with a standing claim.
	 * @return a count
	 */
	int size() {
		return this.standing.size();
	}

	/**
	 * Returns the standing claims of a key.
	 * @param key the key
	 * @return the claims in the order of the log
	 */
	List<Standing> standing(ClaimKey key) {
		return List.copyOf(this.standing.getOrDefault(key, List.of()));
	}

	/**
	 * Folds the next record.
	 * @param record the record at offset {@link #next}
	 * @return the verdict, if the record is a claim that the log had not held before
	 */
	Optional<Verdict> step(LogRecord record) {
		this.next = record.offset() + 1;
		this.logMillis = Math.max(this.logMillis, record.atMillis());
		forgetExpired();
		try {
			return fold(ClaimRecord.read(record.payload()), record.offset());
		}
		catch (IOException ex) {
			logger.warn(ClaimEvents.RECORD_SKIPPED, record.offset(), ex.getMessage());
			return Optional.empty();
		}
	}

	private Optional<Verdict> fold(ClaimRecord record, long offset) {
		if (record instanceof ClaimRecord.Claim claim) {
			return claim(claim, offset);
		}
		if (record instanceof ClaimRecord.Outcome outcome) {
			replace(outcome.key(), outcome.claimId(), (found) -> found.withOutcome(offset));
		}
		if (record instanceof ClaimRecord.Release release) {
			release(release);
		}
		return Optional.empty();
	}

	private Optional<Verdict> claim(ClaimRecord.Claim claim, long offset) {
		List<Standing> claims = this.standing.getOrDefault(claim.key(), List.of());
		if (this.released.contains(claim.claimId())
				|| claims.stream().anyMatch((other) -> other.claimId().equals(claim.claimId()))) {
			return Optional.empty();
		}
		boolean won = claims.isEmpty();
		this.standing.computeIfAbsent(claim.key(), (key) -> new ArrayList<>(1))
			.add(new Standing(claim.claimId(), offset, this.logMillis, claim.fingerprint(), OptionalLong.empty()));
		this.expiries.addLast(new Expiry(this.logMillis, claim.key(), claim.claimId()));
		return Optional.of(new Verdict(claim.claimId(), offset, won));
	}

	private void release(ClaimRecord.Release release) {
		boolean done = standing(release.key()).stream()
			.anyMatch((claim) -> claim.claimId().equals(release.claimId()) && claim.outcomeOffset().isPresent());
		if (!done && this.released.add(release.claimId())) {
			remove(release.key(), release.claimId());
			this.expiries.addLast(new Expiry(this.logMillis, release.key(), release.claimId()));
		}
	}

	private void replace(ClaimKey key, String claimId, UnaryOperator<Standing> change) {
		this.standing.computeIfPresent(key, (same, claims) -> {
			claims.replaceAll((claim) -> claim.claimId().equals(claimId) ? change.apply(claim) : claim);
			return claims;
		});
	}

	private void remove(ClaimKey key, String claimId) {
		this.standing.computeIfPresent(key, (same, claims) -> {
			claims.removeIf((claim) -> claim.claimId().equals(claimId));
			return claims.isEmpty() ? null : claims;
		});
	}

	private void forgetExpired() {
		while (!this.expiries.isEmpty() && this.expiries.peekFirst().atMillis() < this.logMillis - this.windowMillis) {
			Expiry expiry = this.expiries.removeFirst();
			remove(expiry.key(), expiry.claimId());
			this.released.remove(expiry.claimId());
		}
	}

	/**
	 * A claim that was neither released nor forgotten. Immutable and thread-safe.
	 *
	 * @param claimId the claim's id
	 * @param offset its offset
	 * @param atMillis the log's time at its offset
	 * @param fingerprint digest of its request
	 * @param outcomeOffset offset of its recorded outcome
	 */
	record Standing(String claimId, long offset, long atMillis, String fingerprint, OptionalLong outcomeOffset) {

		Standing withOutcome(long newOffset) {
			return this.outcomeOffset.isPresent() ? this : new Standing(this.claimId, this.offset, this.atMillis,
					this.fingerprint, OptionalLong.of(newOffset));
		}

	}

	/**
	 * The verdict on a claim. Immutable and thread-safe.
	 *
	 * @param claimId the claim's id
	 * @param offset its offset
	 * @param won whether its host may run the work
	 */
	record Verdict(String claimId, long offset, boolean won) {
	}

	private record Expiry(long atMillis, ClaimKey key, String claimId) {
	}

}
