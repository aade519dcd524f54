/**
 * At-most-once execution by claims in the platform log.
 */
package io.sequoialink.ledger.claims;
