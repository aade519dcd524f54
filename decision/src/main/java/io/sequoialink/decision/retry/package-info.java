/**
 * Retries and hedges within a budget, by effect, idempotence and deadline.
 */
package io.sequoialink.decision.retry;
