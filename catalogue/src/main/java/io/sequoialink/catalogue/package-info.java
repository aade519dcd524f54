/**
 * Folds the configuration stream of the platform log into an immutable, revisioned view.
 */
package io.sequoialink.catalogue;
