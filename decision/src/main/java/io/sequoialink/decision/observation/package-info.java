/**
 * Notices of backend servers (shutting down, asking for a back-off) that hosts exchange
 * by gossip. Notices can be merged in any order and any number of times.
 */
package io.sequoialink.decision.observation;
