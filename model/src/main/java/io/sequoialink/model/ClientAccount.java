package io.sequoialink.model;

import java.util.Objects;

/**
 * A client account: who may send requests, to which model versions and how many.
 * Immutable and thread-safe.
 *
 * @param id identifier of the account
 * @param labels labels of the account, matched by selectors
 * @param keyDigest SHA-256 digest, in lower-case hexadecimal, of the API key that its
 * clients present
 * @param allowedVersions selects the model versions on which its requests may run
 * @param priority priority under overload, from 0 (most important) to
 * {@link #MAX_PRIORITY}; requests with higher numbers are rejected first
 * @param limits limits, enforced over the whole fleet
 */
public record ClientAccount(AccountId id, Labels labels, String keyDigest, Selector allowedVersions, int priority,
		AccountLimits limits) implements ConfigObject {

	/**
	 * Number of the least important priority, whose requests are rejected first under
	 * overload.
	 */
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
