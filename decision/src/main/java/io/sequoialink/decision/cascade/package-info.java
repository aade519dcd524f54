/**
 * Start tier and escalation: the least expected cost at the quality target of each class,
 * learnt from ratings alone.
 */
package io.sequoialink.decision.cascade;
