/**
 * Roll-outs: which version a session gets, what speaks against a version, and the states
 * that hosts publish in the platform's store. No host is special: each judges the same
 * shared evidence, and a conditional append lets one verdict stand.
 */
package io.sequoialink.gateway.rollout;
