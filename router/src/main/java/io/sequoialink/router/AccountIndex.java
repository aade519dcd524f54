package io.sequoialink.router;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.sequoialink.model.CatalogueView;
import io.sequoialink.model.ClientAccount;

/**
 * Finds client accounts by their secret key. Thread-safe: the index is immutable and is
 * rebuilt when the configuration revision changes.
 */
public final class AccountIndex {

	private volatile Index current = new Index(Long.MIN_VALUE, Map.of());

	/**
	 * Returns the account with the given key.
	 * @param view the current configuration
	 * @param key the secret key that the caller sent
	 * @return the account, or empty if no account has this key
	 */
	public Optional<ClientAccount> find(CatalogueView view, String key) {
		Index index = this.current;
		if (index.revision() != view.revision()) {
			Map<String, ClientAccount> byDigest = new HashMap<>();
			view.accounts().forEach((account) -> byDigest.put(account.keyDigest(), account));
			index = new Index(view.revision(), byDigest);
			this.current = index;
		}
		return Optional.ofNullable(index.byDigest().get(Digests.keyDigest(key)));
	}

	private record Index(long revision, Map<String, ClientAccount> byDigest) {
	}

}
