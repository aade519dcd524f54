/**
 * Containment of a request that crashes servers.
 */
package io.sequoialink.bench.crash;
