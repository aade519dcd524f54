import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request that crashes each runner which begins to run it comes again at any host, in a
 * deployment with one service of two runners.
 */
final class Poison {

	private static final int RUNNERS = 2;

	private static final int HOSTS = 3;

	/** Time between two submissions, in milliseconds. */
	private static final int PERIOD = 1000;

	/** Time after which a runner is back, in milliseconds. */
	private static final int DOWN = 3000;

	/** Time of silence after which the store removes a runner, in milliseconds. */
	private static final int THREE_HEARTBEATS = 3600;

	private static final double END_SECONDS = 50;

	/** {@code stable_window_ms} of the small deployments, in seconds. */
	private static final double STABLE_WINDOW = 3;

	private static final int ALLOWED_LATE_RETRIES = 3;

	private static final List<Double> crashes = Collections.synchronizedList(new ArrayList<>());

	private static final AtomicInteger ids = new AtomicInteger();

	private Poison() {
	}

	public static void main(String[] arguments) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int result = 2;
		try (Rig rig = new Rig(Path.of(arguments[0], "record.txt"))) {
			result = run(rig, trouble);
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(result);
	}

	private static void startRunner(Rig rig, boolean trouble, List<Double> arrivals) throws IOException {
		String id = "i-" + ids.incrementAndGet();
		rig.note("runner %s starts", id);
		new Rig.Runner(rig, id, "app", "south-a", (runner, request, socket) -> {
			if (request.start.contains("/poison")) {
				synchronized (arrivals) {
					arrivals.add(rig.seconds());
					rig.note("runner %s runs %s, run %d of the crashing request", runner.id,
							request.header("X-Sequoialink-Request-Id"), arrivals.size());
				}
				if (trouble) {
					runner.crash();
					crashes.add(rig.seconds());
					rig.note("runner %s has crashed", runner.id);
					Rig.background(() -> comeBack(rig, runner, arrivals));
					return false;
				}
			}
			Rig.sleep(20);
			Rig.Runner.answer(request, socket, "ok".getBytes());
			return true;
		}).start();
	}

	private static void comeBack(Rig rig, Rig.Runner crashed, List<Double> arrivals) throws IOException {
		Rig.background(() -> {
			Rig.sleep((long) (1000 * (crashed.lastBeat() - rig.seconds())) + THREE_HEARTBEATS);
			rig.store.put("servers", crashed.id, "");
		});
		Rig.sleep(DOWN);
		startRunner(rig, true, arrivals);
	}

	private static int run(Rig rig, boolean trouble) throws IOException {
		List<Double> arrivals = new ArrayList<>();
		rig.store.put("op", "config", Rig.config(1,
				List.of(Rig.route("charge", "/charge/", "non_idempotent", "app", 1, 5000)), List.of("app")));
		for (int i = 0; i < RUNNERS; i++) {
			startRunner(rig, trouble, arrivals);
		}
		for (int i = 0; i < HOSTS; i++) {
			rig.startHost("edge-south-a-" + (i + 1), "127.0.0." + (11 + i), "south-a");
		}
		rig.awaitReady();
		Rig.sleep(5000);
		for (int i = 0; rig.seconds() < END_SECONDS; i++) {
			submit(rig, rig.hosts.get(i % HOSTS), "p-" + i);
			Rig.sleep(PERIOD);
		}
		synchronized (arrivals) {
			double third = (crashes.size() >= 3) ? crashes.get(2) : Double.MAX_VALUE;
			long late = arrivals.stream().filter((at) -> at > third + STABLE_WINDOW).count();
			if (crashes.size() >= 3) {
				rig.note("%d runs of the request; the third crash at %.3f; %d runs later than %.0f s after it, allowed %d",
						arrivals.size(), third, late, STABLE_WINDOW, ALLOWED_LATE_RETRIES);
			}
			else {
				rig.note("%d runs of the request, %d runners crashed", arrivals.size(), crashes.size());
			}
			return (late > ALLOWED_LATE_RETRIES) ? 1 : 0;
		}
	}

	private static void submit(Rig rig, Rig.EntryProcess host, String id) {
		String result;
		try {
			Rig.Message answer = host.call("POST", "/charge/poison", id, "n2ctnfzs989anu6wsjnb", 2000, "x".getBytes());
			result = answer.start + " (" + new String(answer.body) + ")";
		}
		catch (IOException ex) {
			result = ex.toString();
		}
		rig.note("client sends %s to %s and gets: %s", id, host.name, result);
	}

}
