import java.io.OutputStream;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A good version is brought in. Sessions use the service of that version and the plain
 * service by turns.
 */
final class SessionVersion {

    private static final int SESSIONS = 400;

    private static final int DURATION_SECONDS = 24;

    private static final Map<String, String> VERSIONS = new ConcurrentHashMap<>();

    private SessionVersion() {
    }

    public static void main(String[] arguments) {
        Rig.main(arguments, SessionVersion::run);
    }

    private static boolean run(Rig rig) throws Exception {
        rig.store()
            .put("op", "config",
                    Settings.config(1, Settings.plain("r-fetch", "/fetch/", "idempotent", "studio-app"),
                            Settings.plain("r-copy", "/copy/", "idempotent", "copy-model")));
        for (int i = 1; i <= 4; i++) {
            rig.runner("i-app" + i, "studio-app", "v1", 6, SessionVersion::answer);
            rig.runner("i-old" + i, "copy-model", "v1", 48, SessionVersion::answer);
        }
        rig.startHosts(3);
        Thread.sleep(4000);
        if (Rig.trouble()) {
            rig.store()
                .put("op", "rollout/copy-model", "{\"service\":\"copy-model\",\"target\":\"v2\",\"duration_s\":"
                        + DURATION_SECONDS + "}");
            rig.note("the roll-out of copy-model to v2 is acknowledged");
            for (int i = 1; i <= 4; i++) {
                rig.runner("i-new" + i, "copy-model", "v2", 48, SessionVersion::answer);
            }
        }
        Thread.sleep(2000);
        long began = System.nanoTime();
        int begunOnNew = 0;
        int moved = 0;
        int sessions = 0;
        while (sessions < SESSIONS && System.nanoTime() - began < 8_000_000_000L) {
            String session = "s" + sessions;
            try (Client client = new Client(rig.hosts().get(sessions % 3), 3000)) {
                ask(client, "/copy/x", session + "-1", session);
                ask(client, "/fetch/x", session + "-2", session);
                ask(client, "/copy/x", session + "-3", session);
            }
            String first = VERSIONS.get(session + "-1");
            String last = VERSIONS.get(session + "-3");
            begunOnNew += first.equals("v2") ? 1 : 0;
            if (!first.equals(last)) {
                moved++;
                rig.note("session " + session + ": its first request at copy-model ran on " + first
                        + ", its next one on " + last);
            }
            sessions++;
        }
        rig.note(sessions + " sessions, " + begunOnNew + " begun on v2, " + moved + " moved to another version");
        return moved <= 3;
    }

    private static void ask(Client client, String path, String id, String session) throws Exception {
        Http.Message answer = client.exchange("GET", path, id,
                "Session: " + session + "\r\nX-Sequoialink-Deadline-Ms: 3000\r\n", "");
        if (answer.status() != 200) {
            throw new IllegalStateException(id + " was answered " + answer.first());
        }
    }

    private static void answer(Runner runner, Http.Message request, String id, OutputStream out) throws Exception {
        VERSIONS.put(id, runner.version());
        runner.note("of version " + runner.version() + " runs " + id);
        String body = "done by " + runner.id();
        Runner.write(out, runner.head(200, id) + "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

}
