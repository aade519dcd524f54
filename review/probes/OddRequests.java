import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Sends requests that the pages do not name: many in one go on a connection, and a
 * target with bytes beyond ASCII.
 */
final class OddRequests {

    private static final int[] PIPELINED = { 20, 100, 300 };

    private static volatile String ranTarget = "";

    private OddRequests() {
    }

    public static void main(String[] arguments) {
        Rig.main(arguments, OddRequests::run);
    }

    private static boolean run(Rig rig) throws Exception {
        rig.store()
            .put("op", "config", Settings.config(1, Settings.plain("r-fetch", "/fetch/", "idempotent", "studio-app")));
        for (int i = 1; i <= 4; i++) {
            rig.runner("i-app" + i, "studio-app", "v1", 6, OddRequests::answer);
        }
        rig.startHosts(1);
        boolean held = true;
        try (Client client = new Client(rig.hosts().get(0), 3000)) {
            String target = "/fetch/caf\u00c3\u00a9";
            client.exchange("GET", target, "n1", "", "");
            held = ranTarget.equals(target);
            rig.note("target of " + target.length() + " bytes, the runner got " + ranTarget.length());
        }
        for (int count : PIPELINED) {
            held = pipeline(rig, count) && held;
        }
        return held;
    }

    private static boolean pipeline(Rig rig, int count) throws Exception {
        StringBuilder requests = new StringBuilder(request("/fetch/slow", "p0"));
        for (int i = 1; i <= count; i++) {
            requests.append(request("/none", "p" + i));
        }
        int answers = 0;
        try (Client client = new Client(rig.hosts().get(0), 3000)) {
            client.write(requests.toString().getBytes(StandardCharsets.ISO_8859_1));
            try {
                for (String line = client.line(); answers <= count && line != null; line = client.line()) {
                    String id = client.answer(line, "GET").header("x-sequoialink-request-id").orElse("");
                    if (!id.equals("p" + answers)) {
                        break;
                    }
                    answers++;
                    if (answers > count) {
                        break;
                    }
                }
            }
            catch (IOException ex) {
                rig.note("after " + answers + " answers: " + ex);
            }
            rig.note(answers + " answers to " + (count + 1) + " pipelined requests");
        }
        return answers == count + 1;
    }

    private static String request(String target, String id) {
        return "GET " + target + " HTTP/1.1\r\nHost: " + Rig.HOST + "\r\nX-Sequoialink-Request-Id: " + id + "\r\n\r\n";
    }

    private static void answer(Runner runner, Http.Message request, String id, OutputStream out) throws Exception {
        ranTarget = request.first().split(" ")[1];
        if (ranTarget.endsWith("slow")) {
            Thread.sleep(700);
        }
        Runner.write(out, runner.head(200, id) + "Content-Length: 2\r\n\r\nok");
    }

}
