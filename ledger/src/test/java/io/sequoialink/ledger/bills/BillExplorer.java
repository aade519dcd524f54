package io.sequoialink.ledger.bills;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import com.google.protobuf.InvalidProtocolBufferException;
import io.sequoialink.ledger.BillJournal.Safety;
import io.sequoialink.ledger.bills.BillPeers.Process;
import io.sequoialink.model.AccountId;
import io.sequoialink.model.Bill;
import io.sequoialink.model.HostId;
import io.sequoialink.model.Json;
import io.sequoialink.model.RequestId;
import io.sequoialink.remote.LogRecord;

/**
 * Three hosts with bill books under seeded faults: messages lost, repeated and late,
 * append answers lost, log outages, hosts killed and replaced. Hosts are killed no faster
 * than copies are renewed. Not thread-safe.
 */
final class BillExplorer {

	private static final int HOSTS = 3;

	private static final int STEP_MILLIS = 20;

	private static final int DETECTION_STEPS = 50;

	private final Random random;

	private final boolean keyedByAttempt;

	private final Map<Integer, BillBook> books = new HashMap<>();

	private final Map<Integer, Process> processes = new HashMap<>();

	private final Map<Process, Integer> goneSince = new HashMap<>();

	private final List<InFlight> network = new ArrayList<>();

	private final List<LogRecord> log = new ArrayList<>();

	private final List<Waiting> waiting = new ArrayList<>();

	private final Set<RequestId> answered = new HashSet<>();

	private boolean logUp = true;

	private int step;

	private int requests;

	private long incarnation;

	BillExplorer(long seed, boolean keyedByAttempt) {
		this.random = new Random(seed);
		this.keyedByAttempt = keyedByAttempt;
		for (int i = 0; i < HOSTS; i++) {
			start(i);
		}
	}

	Result run(int steps) throws InvalidProtocolBufferException {
		for (int i = 0; i < steps; i++) {
			act(true);
		}
		this.logUp = true;
		for (int i = 0; i < 1500; i++) {
			act(false);
		}
		return result();
	}

	private void act(boolean faults) throws InvalidProtocolBufferException {
		this.step++;
		int host = this.random.nextInt(HOSTS);
		int roll = this.random.nextInt(100);
		if (faults && roll < 25) {
			record(host, new RequestId("r" + ++this.requests), 0);
		}
		else if (faults && roll < 27) {
			this.logUp = !this.logUp;
		}
		else if (faults && roll < 29) {
			kill(host);
		}
		else if (roll < 50) {
			append(host, faults);
		}
		else if (roll < 60) {
			this.books.get(host).offer(holders(host), now()).ifPresent((message) -> post(host, message));
		}
		else {
			deliver(faults);
		}
		answerSafe();
	}

	private void record(int host, RequestId request, int attempt) {
		String key = this.keyedByAttempt ? request.value() + "-" + attempt : request.value();
		Bill bill = new Bill(new RequestId(key), new AccountId("acme"), "v1", 10, 5, this.step);
		byte[] payload = Json.write(bill).getBytes(StandardCharsets.UTF_8);
		this.waiting
			.add(new Waiting(host, this.processes.get(host), this.books.get(host).add(payload), request, attempt));
	}

	private void append(int host, boolean faults) {
		BillBook book = this.books.get(host);
		BillBook.Batch batch = book.nextBatch(this::present);
		if (!this.logUp || batch.payloads().isEmpty()) {
			return;
		}
		batch.payloads().forEach((payload) -> this.log.add(new LogRecord(this.log.size(), this.step, payload)));
		if (!faults || this.random.nextInt(4) > 0) {
			book.logged(batch).forEach((message) -> post(host, message));
		}
	}

	private void deliver(boolean faults) throws InvalidProtocolBufferException {
		if (this.network.isEmpty()) {
			return;
		}
		int place = this.random.nextInt(this.network.size());
		boolean repeat = faults && this.random.nextInt(10) == 0;
		InFlight message = repeat ? this.network.get(place) : this.network.remove(place);
		if (faults && this.random.nextInt(10) == 0) {
			return;
		}
		int to = hostOf(message.to());
		this.books.get(to)
			.receive(new HostId("h" + message.from()), message.bytes())
			.ifPresent((answer) -> post(to, answer));
	}

	private void answerSafe() {
		this.waiting.removeIf((one) -> {
			boolean alive = this.processes.get(one.host()).equals(one.process());
			if (alive && this.books.get(one.host()).safety(one.number()) != Safety.LOCAL) {
				this.answered.add(one.request());
				return true;
			}
			return false;
		});
	}

	private void kill(int host) {
		if (!settled()) {
			return;
		}
		Process gone = this.processes.get(host);
		this.goneSince.put(gone, this.step);
		start(host);
		for (Waiting one : List.copyOf(this.waiting)) {
			if (one.process().equals(gone)) {
				this.waiting.remove(one);
				record((host + 1) % HOSTS, one.request(), one.attempt() + 1);
			}
		}
	}

	private boolean settled() {
		boolean copiesWait = this.books.values().stream().anyMatch((book) -> book.localCount() > 0);
		boolean orphansWait = this.books.entrySet()
			.stream()
			.anyMatch((entry) -> entry.getValue()
				.nextBatch(this.processes::containsValue)
				.hasOrphans(this.processes.get(entry.getKey())));
		return !copiesWait && !orphansWait || this.goneSince.isEmpty();
	}

	private void start(int host) {
		Process process = new Process(new HostId("h" + host), ++this.incarnation);
		this.processes.put(host, process);
		this.books.put(host, new BillBook(process, BillSettings.DEFAULT));
	}

	private boolean present(Process process) {
		Integer gone = this.goneSince.get(process);
		return gone == null || this.step - gone < DETECTION_STEPS;
	}

	private List<Process> holders(int host) {
		return this.processes.values().stream().filter((process) -> !process.equals(this.processes.get(host))).toList();
	}

	private void post(int from, BillBook.Message message) {
		this.network.add(new InFlight(from, message.receiver(), message.body().toByteArray()));
	}

	private int hostOf(HostId host) {
		return Integer.parseInt(host.value().substring(1));
	}

	private long now() {
		return (long) this.step * STEP_MILLIS;
	}

	private Result result() {
		BillFold fold = new BillFold(BillFold.DEFAULT_WINDOW);
		Map<String, Integer> counted = new HashMap<>();
		for (LogRecord record : this.log) {
			fold.fold(record)
				.counted()
				.ifPresent((bill) -> counted.merge(bill.request().value().split("-")[0], 1, Integer::sum));
		}
		long lost = this.answered.stream().filter((request) -> !counted.containsKey(request.value())).count();
		long twice = counted.values().stream().filter((count) -> count > 1).count();
		return new Result(this.answered.size(), lost, twice, this.log.size() - fold.remembered());
	}

	/**
	 * What was counted.
	 *
	 * @param answered requests whose caller has the answer
	 * @param lost answered requests without a bill
	 * @param twice requests with more than one bill
	 * @param repeated repeated records in the log
	 */
	record Result(int answered, long lost, long twice, int repeated) {
	}

	private record InFlight(int from, HostId to, byte[] bytes) {
	}

	private record Waiting(int host, Process process, long number, RequestId request, int attempt) {
	}

}
