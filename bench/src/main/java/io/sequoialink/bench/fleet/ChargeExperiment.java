package io.sequoialink.bench.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sequoialink.bench.Experiment;
import io.sequoialink.bench.ExperimentException;
import io.sequoialink.bench.ExperimentOptions;
import io.sequoialink.bench.ExperimentResult;
import io.sequoialink.bench.Target;
import io.sequoialink.ledger.ClaimKey;
import io.sequoialink.ledger.bills.BillFold;
import io.sequoialink.model.AccountId;
import io.sequoialink.model.BackendServer;
import io.sequoialink.model.Json;
import io.sequoialink.model.RequestId;
import io.sequoialink.model.ServerId;
import io.sequoialink.model.ServerKind;
import io.sequoialink.remote.HttpServiceClient;
import io.sequoialink.remote.LogRecord;
import io.sequoialink.remote.PlatformLog;
import io.sequoialink.standin.ExecutionRecorder;
import io.sequoialink.standin.StandinService;

/**
 * Charges that must not run twice, with callers that try again at other hosts, under
 * faults of log, service and hosts. Executions are counted by the stand-in of the
 * service. Stateless and thread-safe.
 */
public final class ChargeExperiment implements Experiment {

	private static final int QUICK_CHARGES = 600;

	private static final int FULL_CHARGES = 3_000;

	private static final int CALLERS = 24;

	private static final int ATTEMPTS = 12;

	private static final long RETRY_MILLIS = 150;

	private static final long OUTAGE_MILLIS = 1_500;

	@Override
	public String name() {
		return "charge";
	}

	@Override
	public String question() {
		return "Does each charge run at most once, and does 'not run' mean it, while log, service and hosts fail?";
	}

	@Override
	public String baselines() {
		return "none: executions are counted by the stand-in of the service";
	}

	@Override
	public List<Target> targets() {
		return List.of(Target.atLeast("requests", 1), Target.atMost("executed_twice", 0),
				Target.atMost("refused_but_executed", 0), Target.atMost("billed_twice", 0),
				Target.atMost("unbilled", 0), Target.atLeast("availability", 0.95));
	}

	@Override
	public ExperimentResult run(ExperimentOptions options) throws ExperimentException {
		try (LoopbackLog log = new LoopbackLog()) {
			Run run = new Run(options, log);
			return new ExperimentResult(run.figures(), run.notes(), Map.of());
		}
		catch (IOException ex) {
			throw new ExperimentException("a stand-in did not start", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new ExperimentException("interrupted", ex);
		}
	}

	/** One run. Its tables are thread-safe; the callers share them. */
	private static final class Run {

		private final long seed;

		private final int charges;

		private final ExecutionRecorder books = new ExecutionRecorder();

		private final LoopbackLog log;

		private final StandinService service;

		private final BackendServer server;

		private final List<ChargeHost> hosts = new ArrayList<>();

		private final AtomicInteger next = new AtomicInteger();

		private final Set<String> toldNotRun = ConcurrentHashMap.newKeySet();

		private final Queue<Ended> ended = new ConcurrentLinkedQueue<>();

		private List<LogRecord> bills = List.of();

		private volatile boolean down;

		private volatile long lastOutageNanos = Long.MIN_VALUE / 2;

		private Run(ExperimentOptions options, LoopbackLog log) throws IOException, InterruptedException {
			this.seed = options.seed();
			this.charges = options.quick() ? QUICK_CHARGES : FULL_CHARGES;
			this.log = log;
			this.service = new StandinService("orders-1", this.books, options.seed());
			this.service.start();
			this.server = new BackendServer(new ServerId("orders-1"), ServerKind.SERVICE, this.service.address().ip(),
					this.service.address().port(), "a", Set.of("orders"), false);
			this.service.setFaultShare(StandinService.Fault.REJECT, 0.02);
			this.service.setFaultShare(StandinService.Fault.DROP_ANSWER, 0.01);
			for (int i = 0; i < options.hosts(); i++) {
				this.hosts.add(new ChargeHost(log.client(), new HttpServiceClient(log.pool()), this.hosts));
			}
			drive();
			this.hosts.forEach(ChargeHost::close);
			this.bills = log.standin().records(PlatformLog.BILLS);
			this.service.close();
		}

		private void drive() throws InterruptedException {
			List<Thread> callers = new ArrayList<>();
			for (int i = 0; i < CALLERS; i++) {
				callers.add(new Thread(this::call));
			}
			callers.forEach(Thread::start);
			int part = 0;
			while (this.next.get() < this.charges) {
				this.log.standin().dropResponses(2);
				if (this.next.get() * 4 / this.charges > part) {
					part++;
					outage();
				}
				Thread.sleep(50);
			}
			for (Thread caller : callers) {
				caller.join();
			}
		}

		private void outage() throws InterruptedException {
			this.down = true;
			this.log.standin().setUnavailable(true);
			Thread.sleep(OUTAGE_MILLIS);
			this.log.standin().setUnavailable(false);
			this.lastOutageNanos = System.nanoTime();
			this.down = false;
		}

		private void call() {
			for (int i = this.next.getAndIncrement(); i < this.charges; i = this.next.getAndIncrement()) {
				Random random = new Random(this.seed * 1_000_003 + i);
				boolean outage = this.down;
				long begin = System.nanoTime();
				ChargeHost.Answer answer = charge("charge-" + i, random);
				this.ended.add(new Ended("charge-" + i, answer, outage || this.down || this.lastOutageNanos > begin));
			}
		}

		private ChargeHost.Answer charge(String name, Random random) {
			ClaimKey key = new ClaimKey(new AccountId("magnolia"), "orders", name);
			Set<ChargeHost.Answer> answers = EnumSet.noneOf(ChargeHost.Answer.class);
			for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
				RequestId request = new RequestId(name + "-" + attempt);
				ChargeHost host = this.hosts.get(random.nextInt(this.hosts.size()));
				ChargeHost.Answer answer = host.charge(key, request, this.server, fault(random));
				if (answer == ChargeHost.Answer.NOT_RUN) {
					this.toldNotRun.add(request.value());
				}
				answers.add(answer);
				if (answers.contains(ChargeHost.Answer.DONE) && random.nextInt(4) > 0) {
					return ChargeHost.Answer.DONE;
				}
				pause();
			}
			return conclude(answers);
		}

		private static ChargeHost.Answer conclude(Set<ChargeHost.Answer> answers) {
			if (answers.contains(ChargeHost.Answer.DONE)) {
				return ChargeHost.Answer.DONE;
			}
			boolean notRun = answers.equals(EnumSet.of(ChargeHost.Answer.NOT_RUN));
			return notRun ? ChargeHost.Answer.NOT_RUN : ChargeHost.Answer.UNKNOWN;
		}

		private static ChargeHost.Fault fault(Random random) {
			int draw = random.nextInt(200);
			return (draw == 0) ? ChargeHost.Fault.KILL : (draw < 3) ? ChargeHost.Fault.PAUSE
					: (draw < 5) ? ChargeHost.Fault.KILL_AFTER : ChargeHost.Fault.NONE;
		}

		private ObjectNode figures() {
			long asked = this.ended.stream().filter((end) -> !end.outage()).count();
			long done = this.ended.stream()
				.filter((end) -> !end.outage() && end.answer() == ChargeHost.Answer.DONE)
				.count();
			ObjectNode node = Json.mapper().createObjectNode();
			node.put("requests", this.ended.size());
			node.put("executed_twice", this.books.duplicatedKeyCount());
			node.put("refused_but_executed", refusedButExecuted());
			node.put("unknown_outcomes",
					this.ended.stream().filter((end) -> end.answer() == ChargeHost.Answer.UNKNOWN).count());
			Map<String, Long> billed = billed();
			node.put("billed_twice", billed.values().stream().filter((count) -> count > 1).count());
			node.put("unbilled",
					this.ended.stream()
						.filter((end) -> end.answer() == ChargeHost.Answer.DONE && !billed.containsKey(end.key()))
						.count());
			node.put("not_run", this.ended.stream().filter((end) -> end.answer() == ChargeHost.Answer.NOT_RUN).count());
			node.put("availability", (asked > 0) ? (double) done / asked : 0);
			return node;
		}

		private Map<String, Long> billed() {
			BillFold fold = new BillFold(BillFold.DEFAULT_WINDOW);
			return this.bills.stream()
				.map(fold::fold)
				.flatMap((outcome) -> outcome.counted().stream())
				.map((bill) -> bill.request().value())
				.collect(Collectors.groupingBy((request) -> request.substring(0, request.lastIndexOf('-')),
						Collectors.counting()));
		}

		private long refusedButExecuted() {
			long attempts = this.books.executions()
				.stream()
				.filter((run) -> this.toldNotRun.contains(run.request()))
				.count();
			long charges = this.ended.stream()
				.filter((end) -> end.answer() == ChargeHost.Answer.NOT_RUN && this.books.executions(end.key()) > 0)
				.count();
			return attempts + charges;
		}

		private List<String> notes() {
			return List.of("appends " + this.log.standin().appendCount() + ", bill records " + this.bills.size()
					+ ", executions " + this.books.executions().size() + ", charges outside outages "
					+ this.ended.stream().filter((end) -> !end.outage()).count());
		}

		private static void pause() {
			try {
				Thread.sleep(RETRY_MILLIS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}

	}

	/**
	 * A charge that its caller has stopped trying.
	 *
	 * @param key its idempotency key
	 * @param answer what its caller knows
	 * @param outage whether the log was down at some time of it
	 */
	private record Ended(String key, ChargeHost.Answer answer, boolean outage) {
	}

}
