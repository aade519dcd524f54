/**
 * Two faults at once on a running fleet, with the promises counted at the stand-ins.
 */
package io.sequoialink.bench.faults;
