/**
 * Runs entry hosts as processes of their own before stand-ins of the platform's store and
 * of backend servers, disturbs them from outside and checks the promises meanwhile, as
 * callers and servers see them.
 */
package io.sequoialink.soak;
