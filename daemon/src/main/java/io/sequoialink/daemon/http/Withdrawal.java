package io.sequoialink.daemon.http;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;

import io.sequoialink.catalogue.Catalogue;
import io.sequoialink.catalogue.Change;
import io.sequoialink.catalogue.Verdict;
import io.sequoialink.membership.Member;
import io.sequoialink.membership.Peers;
import io.sequoialink.model.CatalogueView;
import io.sequoialink.model.ModelVersion;
import io.sequoialink.model.ObjectKey;
import io.sequoialink.model.ObjectKind;
import io.sequoialink.model.Selector;
import io.sequoialink.model.VersionId;
import io.sequoialink.model.VersionState;
import io.sequoialink.remote.LogUnavailableException;

/**
 * Withdraws versions and reports where the withdrawal is in force. Thread-safe.
 */
final class Withdrawal {

	private static final int ATTEMPTS = 3;

	private static final Duration POLL = Duration.ofMillis(50);

	private final Catalogue catalogue;

	private final Peers peers;

	Withdrawal(Catalogue catalogue, Peers peers) {
		this.catalogue = catalogue;
		this.peers = peers;
	}

	/**
	 * Withdraws the selected versions and waits until every member has confirmed it.
	 * @param selector selects versions by their labels
	 * @param author who withdraws
	 * @param reason one sentence
	 * @param patience the longest time to wait for confirmations
	 * @return what was reached
	 * @throws LogUnavailableException if a change was not accepted by the log
	 */
	WithdrawReport withdraw(Selector selector, String author, String reason, Duration patience)
			throws LogUnavailableException {
		List<VersionId> selected = this.catalogue.view()
			.versions()
			.filter((version) -> selector.matches(version.labels()))
			.map(ModelVersion::id)
			.toList();
		long offset = -1;
		List<String> withdrawn = new ArrayList<>();
		for (VersionId id : selected) {
			Optional<Long> accepted = withdrawOne(id, author, reason);
			if (accepted.isPresent()) {
				offset = Math.max(offset, accepted.get());
				withdrawn.add(id.value());
			}
		}
		awaitConfirmations(offset, patience);
		return report(offset, withdrawn);
	}

	private Optional<Long> withdrawOne(VersionId id, String author, String reason) throws LogUnavailableException {
		ObjectKey key = new ObjectKey(ObjectKind.VERSION, id.value());
		for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
			CatalogueView view = this.catalogue.view();
			Optional<CatalogueView.Entry> entry = view.entry(key);
			if (entry.isEmpty()) {
				return Optional.empty();
			}
			ModelVersion version = (ModelVersion) entry.get().object();
			if (version.state() == VersionState.WITHDRAWN) {
				return Optional.of(entry.get().revision());
			}
			Verdict verdict = this.catalogue.apply(new Change("withdraw-" + UUID.randomUUID(), key,
					entry.get().revision(), Optional.of(version.withState(VersionState.WITHDRAWN)), author, reason));
			if (verdict.kind() == Verdict.Kind.ACCEPTED) {
				return Optional.of(verdict.offset());
			}
		}
		return Optional.empty();
	}

	private void awaitConfirmations(long offset, Duration patience) {
		long end = System.nanoTime() + patience.toNanos();
		try {
			while (offset >= 0 && !report(offset, List.of()).notConfirmed().isEmpty() && System.nanoTime() < end) {
				Thread.sleep(POLL.toMillis());
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private WithdrawReport report(long offset, List<String> versions) {
		List<String> inForce = new ArrayList<>();
		List<String> notConfirmed = new ArrayList<>();
		for (Member member : this.peers.members()) {
			boolean own = member.host().equals(this.peers.self().host());
			long revision = own ? this.catalogue.view().revision() : member.viewRevision();
			((revision >= offset) ? inForce : notConfirmed).add(member.host().value());
		}
		return new WithdrawReport(offset, versions, inForce, notConfirmed);
	}

}
