/**
 * Routes requests to model versions and backend servers: resolution against the
 * configuration, admission, attempts with retries, rating and billing.
 */
package io.sequoialink.router;
