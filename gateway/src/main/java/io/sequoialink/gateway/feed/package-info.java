/**
 * Follows keyed topics of the platform's store and keeps the host's view up to date. The
 * pace of calls, the care about gaps and what is done in an outage are decided here; the
 * calls themselves are behind {@link io.sequoialink.gateway.feed.KeyedTopic}.
 */
package io.sequoialink.gateway.feed;
