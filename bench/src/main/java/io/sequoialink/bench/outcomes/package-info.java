/**
 * Seeded tables of outcomes: what each version's answer to each request is worth, drawn
 * so that the draw does not depend on the order in which policies ask.
 */
package io.sequoialink.bench.outcomes;
