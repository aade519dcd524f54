package io.sequoialink.gateway.place;

import java.net.InetSocketAddress;
import java.util.List;

import io.sequoialink.decision.limits.ColdServers;
import io.sequoialink.gateway.fleet.BackendService;
import io.sequoialink.gateway.fleet.ClientLimits;
import io.sequoialink.gateway.fleet.Configuration;
import io.sequoialink.gateway.fleet.FleetView;
import io.sequoialink.gateway.fleet.ServerEntry;
import io.sequoialink.gateway.fleet.StorePosition;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Registrations that are read late, again, or before the configuration.
 */
class ColdServerTableTests {

	private static final long MILLI = 1_000_000L;

	private final FleetView view = new FleetView();

	private final ColdServers cold = new ColdServers();

	private long now;

	private final ColdServerTable table = new ColdServerTable(this.cold, this.view, () -> this.now);

	private void configure(long version, double coldPerSecond) {
		this.view.updateConfiguration(new Configuration(version, List.of(),
				List.of(new BackendService("s", "/", 1, 0, List.of(), coldPerSecond)), List.of(),
				ClientLimits.INITIAL));
		this.table.configured();
	}

	private ServerEntry read(long coldMillis, long startMillis, long offset) {
		ServerEntry entry = new ServerEntry("i", "s", new InetSocketAddress("127.0.0.1", 1), "a", "v", 8, false,
				coldMillis, startMillis);
		this.view.put(entry);
		this.table.registered(entry, new StorePosition(1, offset));
		return entry;
	}

	// Guards against a server that stays cold for ever because its registration is
	// forwarded or read from the store again and again.
	@Test
	void aRegistrationThatIsReadAgainProlongsNothing() {
		configure(1, 12);
		read(4500, 1, 5);
		this.now = 3000 * MILLI;
		read(4500, 1, 5);
		read(9000, 1, 4);
		this.now = 4500 * MILLI;
		assertThat(this.table.count()).isZero();
		read(4500, 1, 5);
		assertThat(this.table.count()).isZero();
		read(4500, 1, 6);
		assertThat(this.table.count()).as("turned cold again, with the same text").isOne();
	}

	@Test
	void aRestartBeginsAnew() {
		configure(1, 12);
		long first = ServerState.incarnation(read(4500, 1, 5));
		this.now = 4000 * MILLI;
		long second = ServerState.incarnation(read(4500, 2, 6));
		this.now = 5000 * MILLI;
		assertThat(this.cold.perSecond(first, this.now)).isEmpty();
		assertThat(this.cold.perSecond(second, this.now)).hasValue(12);
	}

	// A host that starts may read the registrations before the configuration.
	@Test
	void theLimitHoldsOnceTheConfigurationIsRead() {
		long server = ServerState.incarnation(read(4500, 1, 5));
		assertThat(this.cold.anyInForce(this.now)).isFalse();
		configure(1, 12);
		assertThat(this.cold.perSecond(server, this.now)).hasValue(12);
		configure(2, 0);
		assertThat(this.cold.perSecond(server, this.now)).isEmpty();
	}

}
