/**
 * Counters and histograms for the metrics endpoint of a host.
 */
package io.sequoialink.gateway.count;
