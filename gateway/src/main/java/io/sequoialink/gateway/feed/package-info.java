/**
 * Follows compacted topics of the platform's store and keeps the fleet view up to date.
 * This package decides how often the store is called, how gaps are detected and what
 * happens in an outage; the calls themselves are behind
 * {@link io.sequoialink.gateway.feed.KeyedTopic}.
 */
package io.sequoialink.gateway.feed;
