/**
 * Experiments on what many hosts agree on: configuration, restarts and claims.
 */
package io.sequoialink.bench.fleet;
