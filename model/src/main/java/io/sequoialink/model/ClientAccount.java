package io.sequoialink.model;

import java.util.Objects;

/**
 * A client account. Immutable and thread-safe.
 *
 * @param id the account's identifier
 * @param labels labels for selectors
 * @param keyDigest lower-case hexadecimal SHA-256 of the key that its callers present
 * @param allowedVersions selects the model versions on which its requests may run
 * @param priority 0 is shed last; higher numbers are shed earlier, up to
 * {@link #MAX_PRIORITY}
 * @param limits limits over the whole fleet
 */
public record ClientAccount(AccountId id, Labels labels, String keyDigest, Selector allowedVersions, int priority,
		AccountLimits limits) implements ConfigObject {

	/** The priority that is shed first. */
	public static final int MAX_PRIORITY = 9;

	public ClientAccount {
		Objects.requireNonNull(id, "id");
		labels = Objects.requireNonNullElse(labels, Labels.none());
		Objects.requireNonNull(keyDigest, "keyDigest");
		Objects.requireNonNull(allowedVersions, "allowedVersions");
		limits = Objects.requireNonNullElse(limits, AccountLimits.UNLIMITED);
		if (priority < 0 || priority > MAX_PRIORITY) {
			throw new IllegalArgumentException(
					"priority of account " + id + " is " + priority + ": use 0 to " + MAX_PRIORITY);
		}
	}

	@Override
	public ObjectKey key() {
		return new ObjectKey(ObjectKind.ACCOUNT, this.id.value());
	}

}
