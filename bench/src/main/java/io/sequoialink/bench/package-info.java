/**
 * Experiments with their baselines, plots and slopes.
 */
package io.sequoialink.bench;
