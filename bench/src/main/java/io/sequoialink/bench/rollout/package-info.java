/**
 * Exposure to bad versions under roll-outs, against guards of single hosts.
 */
package io.sequoialink.bench.rollout;
