package io.sequoialink.gateway.admission;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import io.sequoialink.decision.limits.CapacityDecision;
import io.sequoialink.decision.limits.ColdServers;
import io.sequoialink.decision.limits.ServerLimits;
import io.sequoialink.decision.observation.SharedServerNotices;
import io.sequoialink.gateway.count.LabelledCounters;
import io.sequoialink.gateway.fleet.FleetView;
import io.sequoialink.gateway.fleet.ServerEntry;
import io.sequoialink.gateway.place.ColdServerTable;
import io.sequoialink.gateway.place.EvacuatedZones;
import io.sequoialink.gateway.place.ResponseNoticeListener;
import io.sequoialink.gateway.place.ServerLimitTable;
import io.sequoialink.gateway.place.ServerNoticeTable;
import io.sequoialink.gateway.place.ServerState;
import io.sequoialink.gateway.place.ServerTable;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link AdmissionControl} with one server, in simulated time.
 */
class AdmissionControlTests {

	private static final long MILLI = 1_000_000L;

	private final FleetView view = new FleetView();

	private final LabelledCounters refused = new LabelledCounters("service", "priority");

	private final List<Runnable> timers = new ArrayList<>();

	private final List<String> sent = new ArrayList<>();

	private final ServerTable servers;

	private final AdmissionControl control;

	private long now = 1000 * MILLI;

	AdmissionControlTests() {
		SplittableRandom random = new SplittableRandom(1);
		this.servers = new ServerTable(this.view,
				new ServerNoticeTable(() -> this.now, random, (server) -> true, ResponseNoticeListener.NONE),
				new SharedServerNotices(), new ServerLimitTable(new ServerLimits()), new EvacuatedZones(),
				new ColdServerTable(new ColdServers(), this.view, () -> this.now));
		this.view
			.put(new ServerEntry("s1", "svc", InetSocketAddress.createUnresolved("s1", 1), "z", "v", 6, false, 0, 1));
		this.control = new AdmissionControl("svc"::equals, this.servers, this.refused,
				(task, millis) -> this.timers.add(task), () -> this.now, random);
	}

	private ServerState server() {
		return this.servers.usableServers("svc").get(0);
	}

	private AdmissionTicket request(String id, String service, int priority) {
		AdmissionTicket ticket = new AdmissionTicket(id, service, "a", priority, 400);
		decide(ticket);
		return ticket;
	}

	private void decide(AdmissionTicket ticket) {
		CapacityDecision decision = this.control.decide(ticket, 1000);
		switch (decision.kind()) {
			case SEND -> this.sent.add(ticket.id());
			case HOLD -> this.control.hold(ticket, decision, () -> decide(ticket));
			case REJECT -> this.sent.add("not " + ticket.id());
		}
	}

	// Guards against held requests that a report wakes in the order of their arrival, or
	// all at once.
	@Test
	void reportOfRoomWakesMostUrgentRequests() {
		this.control.rejected(server());
		request("r1", "svc", 2);
		request("r2", "svc", 0);
		request("r3", "svc", 1);
		assertThat(this.control.held()).isEqualTo(3);
		this.control.reported(server(), 4, 0, 6, 400);
		this.control.rejected(server());
		this.control.reported(server(), 6, 24, 6, 400);
		assertThat(this.sent).startsWith("r2", "r3").doesNotContain("r1");
	}

	// Guards against requests that wait for their deadline without an outlook.
	@Test
	void heldRequestIsRejectedWhenItsTimeIsOver() {
		this.control.rejected(server());
		request("r1", "svc", 0);
		this.now += 50 * MILLI;
		this.timers.forEach(Runnable::run);
		assertThat(this.sent).containsExactly("not r1");
		assertThat(this.control.held()).isZero();
		assertThat(this.refused.counts()).containsValue(1L);
	}

	// Guards against sends for clients that have left.
	@Test
	void heldRequestThatEndsIsNotSent() {
		this.control.rejected(server());
		AdmissionTicket ticket = request("r1", "svc", 0);
		this.control.ended(ticket);
		this.control.reported(server(), 0, 0, 6, 400);
		this.timers.forEach(Runnable::run);
		assertThat(this.sent).isEmpty();
		assertThat(this.control.held()).isZero();
	}

	// Guards against restrictions for services whose servers do not call for them.
	@Test
	void otherServicesAreNotRestricted() {
		this.control.rejected(server());
		request("r1", "other", 2);
		assertThat(this.sent).containsExactly("r1");
	}

	@Test
	void rejectionCountsForSomeHundredMillisecondsOnly() {
		this.control.rejected(server());
		this.now += 250 * MILLI;
		request("r1", "svc", 2);
		assertThat(this.sent).containsExactly("r1");
	}

}
