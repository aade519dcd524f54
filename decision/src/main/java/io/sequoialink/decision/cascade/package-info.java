/**
 * Choice of the first version and escalation to more expensive versions, with the lowest
 * expected cost that meets the quality target of each request class. All estimates are
 * learnt from ratings.
 */
package io.sequoialink.decision.cascade;
