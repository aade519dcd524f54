/**
 * The main program of an entry host on the users' platform: settings, logging, metrics
 * page, and the wiring of the gateway to the platform adapter.
 */
package io.sequoialink.entry;
