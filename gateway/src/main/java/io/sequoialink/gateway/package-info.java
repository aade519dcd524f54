/**
 * The data path of an entry host: accepts requests from clients and forwards them to
 * backend servers. This package holds the templates of its log events.
 */
package io.sequoialink.gateway;
