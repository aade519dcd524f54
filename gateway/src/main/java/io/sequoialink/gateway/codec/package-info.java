/**
 * Decoding of HTTP/1 messages, with the checks that Netty's decoder leaves out.
 */
package io.sequoialink.gateway.codec;
