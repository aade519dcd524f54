/**
 * Leases with fencing numbers, decided by the order of the platform log.
 */
package io.sequoialink.ledger.leases;
