/**
 * Pure policies over a catalogue view and tables; no sockets, threads or clocks of their
 * own.
 */
package io.sequoialink.decision;
