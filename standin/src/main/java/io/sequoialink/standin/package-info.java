/**
 * Simulated external systems for tests, demos and benchmarks: the platform log, the list
 * of backend servers, the rating service, model engines and plain services. Each is an
 * HTTP server on the loopback interface that can inject faults.
 */
package io.sequoialink.standin;
