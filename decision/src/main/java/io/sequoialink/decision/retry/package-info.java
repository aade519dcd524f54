/**
 * Decisions about retries and hedges, limited by a retry budget.
 */
package io.sequoialink.decision.retry;
