package io.sequoialink.gateway.crash;

/**
 * Backend servers that one host saw crash while they ran requests of one content.
 * Immutable.
 *
 * @param content hash of the requests' content
 * @param crashes number of crashes, each of a request sent after the crash before
 * @param alone how many of them took no other request of that host
 * @param ageMillis time since the last of them, in milliseconds
 */
public record ContentCrashes(long content, int crashes, int alone, long ageMillis) {
}
