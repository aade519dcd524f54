/**
 * Claims, bills and leases, folded from the platform log.
 */
package io.sequoialink.ledger;
