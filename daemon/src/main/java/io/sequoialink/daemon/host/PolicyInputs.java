package io.sequoialink.daemon.host;

import java.util.List;
import java.util.Objects;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.sequoialink.model.HostId;

/**
 * What the policies of a host may ask of it. Immutable; the suppliers are thread-safe and
 * never block.
 *
 * @param host the host
 * @param incarnation start of its process, epoch milliseconds
 * @param members the live hosts, this one among them
 * @param capacity requests that all backend servers can run at one time
 * @param revision the newest configuration revision
 */
public record PolicyInputs(HostId host, long incarnation, Supplier<List<HostId>> members, DoubleSupplier capacity,
		LongSupplier revision) {

	public PolicyInputs {
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(members, "members");
		Objects.requireNonNull(capacity, "capacity");
		Objects.requireNonNull(revision, "revision");
	}

}
