/**
 * Counts of what a host does, for its metrics page.
 */
package io.sequoialink.gateway.count;
