/**
 * The data path of an entry host.
 */
package io.sequoialink.gateway;
