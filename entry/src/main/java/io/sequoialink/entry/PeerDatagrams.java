package io.sequoialink.entry;

import java.net.InetAddress;
import java.util.Optional;
import java.util.function.BiConsumer;

import io.sequoialink.gateway.crash.TraitCoordinator;
import io.sequoialink.gateway.crash.TraitGossip;
import io.sequoialink.gateway.permit.FleetSlots;
import io.sequoialink.gateway.permit.LimitGossip;
import io.sequoialink.gateway.relay.ConfigurationInquiry;
import io.sequoialink.gateway.relay.ReadForwarder;
import io.sequoialink.gateway.relay.ServerNoticeGossip;

/**
 * Passes each datagram of another host to the part that it is for, by its first byte.
 * Confined to the event loop.
 *
 * @param reads forwarded reads of the store, and all that is not for another part
 * @param notices notices of servers
 * @param traits suspected and blocked prompt parts
 * @param limits limits that servers name
 * @param slots slots of brittle servers
 * @param inquiry question of a host that starts
 */
record PeerDatagrams(ReadForwarder reads, Optional<ServerNoticeGossip> notices, TraitCoordinator traits,
		Optional<LimitGossip> limits, FleetSlots slots,
		Optional<ConfigurationInquiry> inquiry) implements BiConsumer<InetAddress, byte[]> {

	@Override
	public void accept(InetAddress from, byte[] datagram) {
		if (ServerNoticeGossip.isNoticeDatagram(datagram)) {
			this.notices.ifPresent((gossip) -> gossip.onDatagram(from, datagram));
		}
		else if (TraitGossip.isTraitDatagram(datagram)) {
			this.traits.onDatagram(from, datagram);
		}
		else if (LimitGossip.isLimitDatagram(datagram)) {
			this.limits.ifPresent((gossip) -> gossip.onDatagram(from, datagram));
		}
		else if (FleetSlots.isSlotDatagram(datagram)) {
			this.slots.onDatagram(from, datagram);
		}
		else if (ConfigurationInquiry.isInquiryDatagram(datagram)) {
			this.inquiry.ifPresent((startup) -> startup.onDatagram(from, datagram));
		}
		else {
			this.reads.onDatagram(from, datagram);
		}
	}

}
