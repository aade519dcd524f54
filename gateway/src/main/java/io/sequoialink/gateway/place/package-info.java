/**
 * Backend servers as this host sees them, and the choice among them.
 */
package io.sequoialink.gateway.place;
