/**
 * Roll-outs judged by evidence that all entry hosts share: counters that merge without
 * double counting, sequential tests, credits and stages.
 */
package io.sequoialink.decision.rollout;
