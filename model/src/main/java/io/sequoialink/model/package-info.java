/**
 * Data types shared by all modules: identifiers, labels and selectors, configuration
 * objects, errors and billing. All are immutable; records and enums are written as JSON
 * under their own names.
 */
package io.sequoialink.model;
