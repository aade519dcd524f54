import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A route is added whose streams may not be resumed and whose model the system chooses.
 * Requests on it are sent when the configuration has long been in force.
 */
final class AddedRoute {

    private static final int REQUESTS = 45;

    private static final int EVENTS = 5;

    private AddedRoute() {
    }

    public static void main(String[] arguments) {
        Rig.main(arguments, AddedRoute::run);
    }

    private static boolean run(Rig rig) throws Exception {
        String first = Settings.stream("r-first", "/first/", 25_000, true);
        rig.store().put("op", "config", Settings.config(1, first));
        for (int i = 1; i <= 6; i++) {
            rig.runner("i-model" + i, "copy-model", "v1", 48, AddedRoute::answer);
        }
        rig.startHosts(3);
        Thread.sleep(4000);
        if (Rig.trouble()) {
            rig.store().put("op", "config",
                    Settings.config(2, first, Settings.stream("r-added", "/added/", 25_000, false)));
            rig.note("configuration 2, which adds route r-added, is acknowledged");
            Thread.sleep(6000);
        }
        AtomicInteger servedOnFirst = new AtomicInteger();
        AtomicInteger servedOnAdded = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            clients.add(send(rig, "/first/", i, servedOnFirst));
            if (Rig.trouble()) {
                clients.add(send(rig, "/added/", i, servedOnAdded));
            }
            Thread.sleep(100);
        }
        for (Thread client : clients) {
            client.join();
        }
        rig.note("served on r-first: " + servedOnFirst + " of " + REQUESTS);
        if (!Rig.trouble()) {
            return servedOnFirst.get() == REQUESTS;
        }
        rig.note("served on r-added: " + servedOnAdded + " of " + REQUESTS);
        return 4 * servedOnAdded.get() >= servedOnFirst.get();
    }

    // One request in five is easy for the smallest model.
    private static Thread send(Rig rig, String path, int number, AtomicInteger served) {
        EntryProcess host = rig.hosts().get(number / 5 % rig.hosts().size());
        String id = path.replace("/", "") + "-" + number;
        String prompt = (number % 5 == 0) ? "easy" : "hard";
        return Rig.thread(id, () -> {
            long began = System.nanoTime();
            String end = "no answer";
            try (Client client = new Client(host, 27_000)) {
                Http.Message answer = client.exchange("POST", path + "x", id,
                        "X-Sequoialink-Model: *\r\nX-Sequoialink-Token-Count: 100,20\r\n"
                                + "X-Sequoialink-Prompt-Prefix: " + Integer.toHexString(number + 4096) + ":100\r\n"
                                + "X-Sequoialink-Deadline-Ms: 25000\r\n",
                        prompt);
                boolean whole = answer.status() == 200 && answer.complete()
                        && answer.text().contains("id: " + EVENTS + "\n");
                end = answer.first() + (whole ? ", whole stream" : ", " + answer.text());
                if (whole) {
                    served.incrementAndGet();
                }
            }
            finally {
                rig.note("client " + id + " (" + prompt + ") at " + host.name() + ": " + end + " after "
                        + (System.nanoTime() - began) / 1_000_000 + " ms");
            }
        });
    }

    // The smallest model has a low opinion of its answers to hard requests, as larger
    // ones answer those well.
    private static void answer(Runner runner, Http.Message request, String id, OutputStream out) throws Exception {
        String model = request.header("x-sequoialink-model").orElse("");
        int confidence = (model.equals("small") && request.text().equals("hard")) ? 10 : 90;
        runner.note("runs " + id + " with model " + model + ", confidence " + confidence);
        Thread.sleep(30);
        Runner.write(out, runner.head(200, id) + "X-Sequoialink-Confidence: " + confidence
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int event = 1; event <= EVENTS; event++) {
            Thread.sleep(20);
            String text = "id: " + event + "\ndata: words\n\n";
            Runner.write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }
        Runner.write(out, "0\r\n\r\n");
    }

}
