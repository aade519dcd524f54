package io.sequoialink.gateway.http;

/**
 * Load that a backend server reports in a response. Immutable.
 *
 * @param running requests that it is processing
 * @param waiting requests in its queue
 * @param slots requests that it can process concurrently
 */
public record ServerLoad(int running, int waiting, int slots) {
}
