/**
 * Decides roll-outs by answer statistics that all entry hosts share: replicated counters
 * that merge without counting an answer twice, sequential statistical tests, limits on
 * unresolved answers (credits), and roll-out stages.
 */
package io.sequoialink.decision.rollout;
