package io.sequoialink.gateway.crash;

import java.util.List;

/**
 * What one host publishes of crashes. Immutable.
 *
 * @param host name of the host
 * @param contents the contents that it suspects
 */
public record HostCrashes(String host, List<ContentCrashes> contents) {
}
