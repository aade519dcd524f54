/**
 * Settings of an entry host and files of configuration objects, checked as a whole before
 * anything starts.
 */
package io.sequoialink.daemon.settings;
