package io.sequoialink.gateway.feed;

import java.util.function.Consumer;

/**
 * Result of a call to the platform's store. Immutable.
 *
 * @param value the result; {@code null} if the call failed
 * @param failure why it failed; {@code null} if it succeeded
 * @param <T> type of the value
 */
public record StoreReply<T>(T value, StoreFailure failure) {

	/**
	 * Returns a successful reply.
	 * @param value the result
	 * @param <T> type of the value
	 * @return the reply
	 */
	public static <T> StoreReply<T> of(T value) {
		return new StoreReply<>(value, null);
	}

	/**
	 * Returns a failed reply.
	 * @param failure why it failed
	 * @param <T> type of the value
	 * @return the reply
	 */
	public static <T> StoreReply<T> failed(StoreFailure failure) {
		return new StoreReply<>(null, failure);
	}

	/**
	 * Passes the value or the failure to the matching consumer.
	 * @param onValue receives the value
	 * @param onFailure receives the failure
	 */
	public void match(Consumer<T> onValue, Consumer<StoreFailure> onFailure) {
		if (this.failure == null) {
			onValue.accept(this.value);
		}
		else {
			onFailure.accept(this.failure);
		}
	}

}
