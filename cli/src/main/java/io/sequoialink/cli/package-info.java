/**
 * The operators' commands and the demo.
 */
package io.sequoialink.cli;
