/**
 * Detection and containment of requests that crash backend servers.
 */
package io.sequoialink.decision.crash;
