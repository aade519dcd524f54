package io.sequoialink.gateway.http;

import java.util.OptionalInt;

/**
 * Load that a backend server reports in a response. Immutable.
 *
 * @param running requests that it is processing
 * @param waiting requests in its queue
 * @param slots requests that it can process concurrently
 * @param slowdownPercent how long work takes on the server's machine at this moment, in
 * percent of the usual time; empty if the server does not report it
 */
public record ServerLoad(int running, int waiting, int slots, OptionalInt slowdownPercent) {
}
