import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A roll-out of a version half of whose answers break off.
 */
final class BrokenVersion {

	private static final int RUNNERS = 4;

	private static final int HOSTS = 3;

	private static final int CLIENTS = 8;

	/** Time between two requests of a client, in milliseconds. */
	private static final int PERIOD = 100;

	private static final int DURATION_SECONDS = 16;

	private static final int BAD_PERCENT = 50;

	private static final double EXPOSE_SHARE = 0.15;

	private static final int EXPOSE_SLACK = 30;

	private static final double ROLLBACK_SECONDS = 5;

	private static final int BAD_ANSWERS = 50;

	private static final double END_SECONDS = 45;

	private final Rig rig;

	private final boolean trouble;

	private final List<Arrival> arrivals = new ArrayList<>();

	private final Map<String, Double> sent = new ConcurrentHashMap<>();

	private final List<Double> badAnswers = new ArrayList<>();

	private final AtomicInteger ids = new AtomicInteger();

	private final AtomicInteger failures = new AtomicInteger();

	private volatile boolean over;

	private BrokenVersion(Rig rig, boolean trouble) {
		this.rig = rig;
		this.trouble = trouble;
	}

	public static void main(String[] arguments) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int result = 2;
		try (Rig rig = new Rig(Path.of(arguments[0], "record.txt"))) {
			result = new BrokenVersion(rig, trouble).run();
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(result);
	}

	private Rig.Runner startRunner(String id, String version) throws IOException {
		Rig.Runner runner = new Rig.Runner(this.rig, id, "app", "south-a", this::work);
		runner.version = version;
		runner.start();
		return runner;
	}

	private boolean work(Rig.Runner runner, Rig.Message request, Socket socket) throws IOException {
		double now = this.rig.seconds();
		synchronized (this.arrivals) {
			this.arrivals.add(new Arrival(now, this.sent.getOrDefault(request.header("X-Sequoialink-Request-Id"), now), runner.version));
		}
		Rig.sleep(20);
		boolean bad = this.trouble && runner.version.equals("v2")
				&& ThreadLocalRandom.current().nextInt(100) < BAD_PERCENT;
		if (!bad) {
			Rig.Runner.answer(request, socket, new byte[800]);
			return true;
		}
		Rig.write(socket.getOutputStream(),
				"HTTP/1.1 200 OK\r\nX-Sequoialink-Request-Id: " + request.header("X-Sequoialink-Request-Id")
						+ "\r\nX-Sequoialink-Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Length: 800\r\n\r\n",
				new byte[300]);
		synchronized (this.badAnswers) {
			this.badAnswers.add(this.rig.seconds());
		}
		return false;
	}

	private int run() throws IOException {
		this.rig.store.put("op", "config", Rig.config(1,
				List.of(Rig.route("charge", "/charge/", "non_idempotent", "app", 1, 5000)), List.of("app")));
		List<Rig.Runner> old = new ArrayList<>();
		for (int i = 0; i < RUNNERS; i++) {
			old.add(startRunner("i-old-" + i, "v1"));
		}
		for (int i = 0; i < HOSTS; i++) {
			this.rig.startHost("edge-south-a-" + (i + 1), "127.0.0." + (11 + i), "south-a");
		}
		this.rig.awaitReady();
		for (int i = 0; i < CLIENTS; i++) {
			int client = i;
			Rig.background(() -> load(client));
		}
		Rig.sleep(5000);
		for (int i = 0; i < RUNNERS; i++) {
			startRunner("i-new-" + i, "v2");
		}
		double order = this.rig.seconds();
		this.rig.store.put("op", "rollout/app",
				"{\"service\":\"app\",\"target\":\"v2\",\"duration_s\":" + DURATION_SECONDS + "}");
		this.rig.note("the operator orders v2, within %d s", DURATION_SECONDS);
		String state = "";
		while (this.rig.seconds() < END_SECONDS) {
			List<String> published = this.rig.store.values("status", "rollout/app");
			String last = published.isEmpty() ? "" : published.get(published.size() - 1);
			if (!last.equals(state)) {
				this.rig.note("status/rollout/app: %s", last);
				state = last;
				if (last.contains("completed")) {
					stop(old);
				}
			}
			Rig.sleep(50);
		}
		this.over = true;
		return judge(order);
	}

	private void stop(List<Rig.Runner> old) {
		old.forEach((runner) -> {
			runner.crash();
			this.rig.store.put("servers", runner.id, "");
		});
		this.rig.note("the old runners have stopped");
	}

	private void load(int client) throws IOException {
		while (!this.over) {
			String id = "r-" + this.ids.incrementAndGet();
			Rig.EntryProcess host = this.rig.hosts.get(client % HOSTS);
			this.sent.put(id, this.rig.seconds());
			try {
				Rig.Message answer = host.call("POST", "/charge/" + id, id, "n2ctnfzs989anu6wsjnb", 1000, "{}".getBytes());
				if (answer.status() != 200 || !answer.incomplete.isEmpty()) {
					this.failures.incrementAndGet();
				}
			}
			catch (IOException ex) {
				this.failures.incrementAndGet();
			}
			Rig.sleep(PERIOD);
		}
	}

	private int judge(double order) {
		double deadline = order + DURATION_SECONDS;
		synchronized (this.arrivals) {
			long all = this.arrivals.stream().filter((each) -> each.at() > order && each.at() < deadline).count();
			long exposed = this.arrivals.stream()
				.filter((each) -> each.at() > order && each.at() < deadline && each.version().equals("v2"))
				.count();
			double allowed = EXPOSE_SHARE * all + EXPOSE_SLACK;
			double fiftieth = (this.badAnswers.size() >= BAD_ANSWERS) ? this.badAnswers.get(BAD_ANSWERS - 1)
					: Double.MAX_VALUE;
			long late = this.arrivals.stream()
				.filter((each) -> each.version().equals("v2") && each.sent() > fiftieth + ROLLBACK_SECONDS)
				.count();
			this.rig.note("until the deadline v2 got %d of %d requests, allowed %.0f", exposed, all, allowed);
			this.rig.note("%d answers of v2 broke off, the 50th at %.3f; v2 got %d requests later than %.0f s after it",
					this.badAnswers.size(), Math.min(fiftieth, 999), late, ROLLBACK_SECONDS);
			this.rig.note("%d of %d requests of clients weren't answered with success", this.failures.get(),
					this.ids.get());
			// a version without a bad answer may get any share
			boolean bad = !this.badAnswers.isEmpty();
			return (late > 0 || (bad && exposed > allowed)) ? 1 : 0;
		}
	}

	private record Arrival(double at, double sent, String version) {
	}

}
