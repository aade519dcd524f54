/**
 * The cascade experiment: cost at the quality target over seeded tables of outcomes.
 */
package io.sequoialink.bench.cascade;
