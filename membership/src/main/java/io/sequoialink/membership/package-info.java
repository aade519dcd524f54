/**
 * Failure detection, peer digests and anti-entropy between entry hosts.
 */
package io.sequoialink.membership;
