/**
 * The life cycle of one request over shared tables.
 */
package io.sequoialink.router;
