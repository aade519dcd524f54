/**
 * The latency experiment: first tokens through real hosts over loopback.
 */
package io.sequoialink.bench.latency;
