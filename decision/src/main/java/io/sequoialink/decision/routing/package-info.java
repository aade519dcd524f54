/**
 * Choice of the backend server of an attempt.
 */
package io.sequoialink.decision.routing;
