package io.sequoialink.bench.faults;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import io.sequoialink.bench.live.Caller;
import io.sequoialink.bench.live.DeploymentObjects;
import io.sequoialink.bench.live.LiveFleet;
import io.sequoialink.bench.live.PromiseAudit;
import io.sequoialink.daemon.host.EntryHost;
import io.sequoialink.standin.OutcomeTable;

/**
 * An open-loop load of a running fleet. Each caller sends a request that got no response,
 * because its host was lost, again through another host, as a balancer's client does; a
 * charge keeps its idempotency key. Thread-safe.
 */
final class FaultLoad implements AutoCloseable {

	private static final int THREADS = 128;

	private static final int SENDS = 8;

	private static final long RESEND_MILLIS = 150;

	private static final int MAX_TOKENS = 60;

	private final LiveFleet fleet;

	private final PromiseAudit audit;

	private final ExecutorService executor = Executors.newFixedThreadPool(THREADS);

	private final List<Target> targets = new CopyOnWriteArrayList<>();

	FaultLoad(LiveFleet fleet, PromiseAudit audit) {
		this.fleet = fleet;
		this.audit = audit;
		refresh();
	}

	/** Follows the fleet's present hosts, as the platform's balancer does. */
	void refresh() {
		List<EntryHost> hosts = this.fleet.hosts();
		this.targets.removeIf((target) -> !hosts.contains(target.host()));
		for (EntryHost host : hosts) {
			if (this.targets.stream().noneMatch((target) -> target.host() == host)) {
				this.targets.add(new Target(host, new Caller(host.httpPort())));
			}
		}
	}

	void send(int number, Random random) {
		OutcomeTable table = this.fleet.standins().outcomes().table();
		OutcomeTable.RequestClass known = table.classes().get(random.nextInt(table.classes().size()));
		String account = "account-" + random.nextInt(DeploymentObjects.ACCOUNTS);
		boolean charge = random.nextInt(10) == 0;
		boolean streamed = random.nextInt(3) == 0;
		int start = random.nextInt(1 << 16);
		this.executor.execute(() -> {
			Caller.Reply reply = null;
			for (int send = 0; send < SENDS && (reply == null || reply.status() == 0); send++) {
				pause((send > 0) ? RESEND_MILLIS : 0);
				Target target = this.targets.get((start + send) % this.targets.size());
				reply = charge ? charge(target, account, number)
						: target.caller()
							.chat(DeploymentObjects.key(account), known.id(), "request " + number, MAX_TOKENS, streamed,
									Map.of());
			}
			this.audit.received(account, charge ? "charge-" + number : "", reply);
		});
	}

	private Caller.Reply charge(Target target, String account, int number) {
		return target.caller()
			.charge(DeploymentObjects.key(account), DeploymentObjects.chargingService(this.fleet.deployment()),
					"charge-" + number, "{\"amount\":1}");
	}

	private static void pause(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Waits until every request has ended.
	 * @throws InterruptedException if the thread was interrupted
	 */
	@Override
	public void close() throws InterruptedException {
		this.executor.shutdown();
		this.executor.awaitTermination(60, TimeUnit.SECONDS);
	}

	private record Target(EntryHost host, Caller caller) {
	}

}
