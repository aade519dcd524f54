/**
 * The command line program: operator commands, the command that runs an entry host, the
 * demo and the benchmarks.
 */
package io.sequoialink.cli;
