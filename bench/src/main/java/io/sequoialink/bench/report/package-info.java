/**
 * HTML pages with plots of experiments.
 */
package io.sequoialink.bench.report;
