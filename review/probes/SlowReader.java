import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients on slow lines read long answers. The entry host that has taken their requests
 * is stopped meanwhile.
 */
final class SlowReader {

    private static final int BODY_BYTES = 8_200_000;

    private static final int BYTES_PER_STEP = 64_000;

    private static final int STEP_MILLIS = 60;

    private SlowReader() {
    }

    public static void main(String[] arguments) {
        Rig.main(arguments, SlowReader::run);
    }

    private static boolean run(Rig rig) throws Exception {
        rig.store()
            .put("op", "config", Settings.config(1, Settings.plain("r-fetch", "/fetch/", "idempotent", "studio-app")));
        for (int i = 1; i <= 4; i++) {
            rig.runner("i-app" + i, "studio-app", "v1", 6, SlowReader::answer);
        }
        rig.startHosts(3);
        Thread.sleep(4000);
        AtomicInteger cut = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            clients.add(fetch(rig, i, cut));
        }
        Thread.sleep(500);
        if (Rig.trouble()) {
            rig.hosts().get(0).signal("TERM");
            rig.note("SIGTERM to " + rig.hosts().get(0).name());
        }
        for (Thread client : clients) {
            client.join();
        }
        rig.note(cut + " of 3 answers were cut");
        return cut.get() == 0;
    }

    private static Thread fetch(Rig rig, int number, AtomicInteger cut) {
        return Rig.thread("client " + number, () -> {
            String id = "q" + number;
            try (Client client = new Client(rig.hosts().get(0), 32_768, 15_000)) {
                client.send("GET", "/fetch/x", id, "X-Sequoialink-Deadline-Ms: 30000\r\n", "");
                int bytes = 0;
                byte[] step = new byte[BYTES_PER_STEP];
                try {
                    for (int read = client.in().readNBytes(step, 0, step.length); read > 0
                            && bytes + read < BODY_BYTES; read = client.in().readNBytes(step, 0, step.length)) {
                        bytes += read;
                        Thread.sleep(STEP_MILLIS);
                        if (bytes % 1_024_000 < BYTES_PER_STEP) {
                            rig.note("client " + number + " has read " + bytes + " bytes");
                        }
                    }
                    // the head comes before the body
                    rig.note("client " + number + " ended after about " + bytes + " bytes");
                }
                finally {
                    boolean whole = bytes >= BODY_BYTES - 2 * BYTES_PER_STEP;
                    if (!whole) {
                        cut.incrementAndGet();
                    }
                    rig.note("client " + number + ": " + (whole ? "whole answer" : "answer cut after " + bytes + " of "
                            + BODY_BYTES + " bytes"));
                }
            }
        });
    }

    private static void answer(Runner runner, Http.Message request, String id, OutputStream out) throws Exception {
        runner.note("runs " + id);
        Runner.write(out, runner.head(200, id) + "Content-Length: " + BODY_BYTES + "\r\n\r\n");
        out.write(new byte[BODY_BYTES]);
        out.flush();
        runner.note("has written its whole answer to " + id);
    }

}
