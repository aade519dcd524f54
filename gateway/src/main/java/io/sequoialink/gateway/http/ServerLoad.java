package io.sequoialink.gateway.http;

/**
 * Load that a backend server reports with an answer. Immutable.
 *
 * @param running requests that it processes
 * @param waiting requests in its queue
 * @param slots requests that it processes at once
 */
public record ServerLoad(int running, int waiting, int slots) {
}
