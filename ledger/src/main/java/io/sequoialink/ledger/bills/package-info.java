/**
 * Bills: copied to a peer at once, appended to the log in batches, folded by the consumer
 * without repetitions.
 */
package io.sequoialink.ledger.bills;
