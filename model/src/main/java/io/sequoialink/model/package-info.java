/**
 * Immutable records, identifiers, labels and selectors that every other module shares.
 */
package io.sequoialink.model;
