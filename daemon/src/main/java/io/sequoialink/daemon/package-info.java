/**
 * Settings, HTTP interface, metrics and life cycle of an entry host.
 */
package io.sequoialink.daemon;
