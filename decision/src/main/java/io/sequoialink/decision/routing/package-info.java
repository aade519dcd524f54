/**
 * Load balancing: choice of the backend server of an attempt, and ejection of failing
 * servers.
 */
package io.sequoialink.decision.routing;
