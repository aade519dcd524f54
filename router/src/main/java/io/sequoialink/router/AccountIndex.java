package io.sequoialink.router;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.sequoialink.model.CatalogueView;
import io.sequoialink.model.ClientAccount;

/**
 * Finds client accounts by their secret key. Thread-safe: the index of the newest view is
 * replaced as a whole.
 */
public final class AccountIndex {

	private volatile Index newest = new Index(Long.MIN_VALUE, Map.of());

	/**
	 * Returns the account of a key.
	 * @param view the configuration
	 * @param key the secret key from the caller
	 * @return the account, or empty if none has the key
	 */
	public Optional<ClientAccount> find(CatalogueView view, String key) {
		Index index = this.newest;
		if (index.revision() != view.revision()) {
			Map<String, ClientAccount> byDigest = new HashMap<>();
			view.accounts().forEach((account) -> byDigest.put(account.keyDigest(), account));
			index = new Index(view.revision(), byDigest);
			this.newest = index;
		}
		return Optional.ofNullable(index.byDigest().get(Digests.ofKey(key)));
	}

	private record Index(long revision, Map<String, ClientAccount> byDigest) {
	}

}
