package io.sequoialink.gateway.fleet;

/**
 * A value with the offset of the record that it was read from. Immutable.
 *
 * @param value the value
 * @param offset offset of its record
 * @param <T> type of the value
 */
public record Found<T>(T value, long offset) {
}
