package io.sequoialink.membership;

import io.netty.util.NetUtil;
import io.sequoialink.membership.Member.State;
import io.sequoialink.membership.wire.PeerProtocol;
import io.sequoialink.model.Brake;
import io.sequoialink.model.HostId;
import io.sequoialink.model.Identifiers;

/**
 * Translates between messages and this module's records, and refuses values out of range.
 * Stateless and thread-safe.
 */
final class WireForms {

	static final int MAX_REASON_LENGTH = 512;

	private static final int MAX_PORT = 65535;

	private static final State[] STATES = State.values();

	private WireForms() {
	}

	static PeerProtocol.MemberUpdate write(MemberUpdate update) {
		Member member = update.member();
		return PeerProtocol.MemberUpdate.newBuilder()
			.setHost(member.host().value())
			.setIncarnation(member.incarnation())
			.setRefutation(update.refutation())
			.setIp(member.ip())
			.setPort(member.port())
			.setZone(member.zone())
			.setStateValue(member.state().ordinal())
			.build();
	}

	static MemberUpdate read(PeerProtocol.MemberUpdate update) throws RefusedFrameException {
		require(update.getIncarnation() > 0, "incarnation");
		require(update.getRefutation() >= 0 && update.getRefutation() < Integer.MAX_VALUE, "refutation");
		require(isAddress(update.getIp()), "address");
		require(update.getPort() > 0 && update.getPort() <= MAX_PORT, "port");
		require(Identifiers.valid(update.getZone()), "zone");
		require(update.getStateValue() >= 0 && update.getStateValue() < STATES.length, "state");
		Member member = new Member(host(update.getHost()), update.getIncarnation(), update.getIp(), update.getPort(),
				update.getZone(), STATES[update.getStateValue()], 0);
		return new MemberUpdate(member, update.getRefutation());
	}

	static PeerProtocol.BrakeRecord write(Brake brake) {
		return PeerProtocol.BrakeRecord.newBuilder()
			.setScope(brake.scope().name())
			.setTarget(brake.target())
			.setReason(brake.reason())
			.setOrigin(brake.origin().value())
			.setRevision(brake.revision())
			.setAtMillis(brake.atMillis())
			.build();
	}

	static Brake read(PeerProtocol.BrakeRecord brake) throws RefusedFrameException {
		require(Identifiers.valid(brake.getTarget()), "brake target");
		require(brake.getReason().length() <= MAX_REASON_LENGTH, "brake reason");
		return new Brake(scope(brake.getScope()), brake.getTarget(), brake.getReason(), host(brake.getOrigin()),
				brake.getRevision(), brake.getAtMillis());
	}

	static HostId host(String value) throws RefusedFrameException {
		require(Identifiers.valid(value), "host");
		return new HostId(value);
	}

	/**
	 * Returns the brake with a reason that is short enough to travel.
	 * @param brake the brake
	 * @return the brake, with its reason cut if it is too long
	 */
	static Brake bounded(Brake brake) {
		if (brake.reason().length() <= MAX_REASON_LENGTH) {
			return brake;
		}
		return new Brake(brake.scope(), brake.target(), brake.reason().substring(0, MAX_REASON_LENGTH), brake.origin(),
				brake.revision(), brake.atMillis());
	}

	private static Brake.Scope scope(String name) throws RefusedFrameException {
		for (Brake.Scope scope : Brake.Scope.values()) {
			if (scope.name().equals(name)) {
				return scope;
			}
		}
		throw new RefusedFrameException(FrameRefusal.MALFORMED, "brake scope");
	}

	private static boolean isAddress(String ip) {
		return NetUtil.isValidIpV4Address(ip) || NetUtil.isValidIpV6Address(ip);
	}

	private static void require(boolean accepted, String what) throws RefusedFrameException {
		if (!accepted) {
			throw new RefusedFrameException(FrameRefusal.MALFORMED, what + " out of range");
		}
	}

}
