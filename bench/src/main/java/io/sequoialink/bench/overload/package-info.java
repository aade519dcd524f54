/**
 * Goodput, fairness and retries when more is offered than the backend servers can run.
 */
package io.sequoialink.bench.overload;
