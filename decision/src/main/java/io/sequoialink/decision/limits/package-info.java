/**
 * Admission control: fleet-wide limits of client accounts, fairness between accounts, and
 * handling of overload.
 */
package io.sequoialink.decision.limits;
