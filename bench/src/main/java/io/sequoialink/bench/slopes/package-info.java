/**
 * What each duty costs a host, measured over numbers of hosts, and the account at the
 * expected size.
 */
package io.sequoialink.bench.slopes;
