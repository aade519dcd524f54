/**
 * Admission: the limits of client accounts over the whole fleet, fairness and overload.
 */
package io.sequoialink.decision.limits;
