/**
 * Gradual roll-outs of backend server versions: which version a session gets, how the new
 * version's answers are compared with the old versions', and how hosts agree on the
 * outcome through the platform's store.
 *
 * <p>
 * There is no leader: every host evaluates the same published reports, and a conditional
 * append to the store makes sure that only one final state is recorded.
 */
package io.sequoialink.gateway.rollout;
