/**
 * Interfaces of the decision policies (admission, cascade, server choice, retry,
 * roll-out, crash containment) and their input and result types. The policies use no
 * sockets, threads or clocks of their own; callers pass the current time in.
 */
package io.sequoialink.decision;
