/**
 * Real entry hosts over loopback before stand-ins, in one process.
 */
package io.sequoialink.bench.live;
