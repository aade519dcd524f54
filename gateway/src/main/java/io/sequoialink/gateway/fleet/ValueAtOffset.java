package io.sequoialink.gateway.fleet;

/**
 * A value with the offset of the record that contains it. Immutable.
 *
 * @param value the value
 * @param offset offset of the record in its topic
 * @param <T> type of the value
 */
public record ValueAtOffset<T>(T value, long offset) {
}
