import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An entry host: a process started by the line "run" of the deploy file, with settings
 * filled in from its template. Signals go to this process only.
 */
final class EntryProcess implements AutoCloseable {

    private final Rig rig;

    private final String name;

    private final String ip;

    private final Map<String, String> fields = new LinkedHashMap<>();

    private Process process;

    EntryProcess(Rig rig, String name, String ip, int front, int ready, int internal, String store) {
        this.rig = rig;
        this.name = name;
        this.ip = ip;
        this.fields.put("node_name", name);
        this.fields.put("zone", "south-a");
        this.fields.put("ip", ip);
        this.fields.put("listen.front", ip + ":" + front);
        this.fields.put("listen.ready", ip + ":" + ready);
        this.fields.put("internal_ports.0", String.valueOf(internal));
        this.fields.put("platform.address", store);
        this.fields.put("bounds.grace_s", "8");
        this.fields.put("bounds.drain_ms", "2000");
        this.fields.put("bounds.config_apply_ms", "2000");
        this.fields.put("bounds.retry_budget_ratio", "0.9");
        this.fields.put("bounds.retry_budget_slack", "56");
        this.fields.put("bounds.budget_window_s", "10");
        this.fields.put("bounds.expose_share", "0.15");
        this.fields.put("bounds.expose_slack", "30");
        this.fields.put("bounds.session_s", "5");
    }

    String name() {
        return this.name;
    }

    String ip() {
        return this.ip;
    }

    int frontPort() {
        return Integer.parseInt(this.fields.get("listen.front").split(":")[1]);
    }

    void set(String field, String value) {
        this.fields.put(field, value);
    }

    private static String fill(String text, Map<String, String> fields) throws IOException {
        Matcher matcher = Pattern.compile("\\{\\{([a-z_0-9.]+)(\\|json)?\\}\\}").matcher(text);
        StringBuilder filled = new StringBuilder();
        while (matcher.find()) {
            String value = fields.get(matcher.group(1));
            if (value == null) {
                throw new IOException("no value for " + matcher.group());
            }
            boolean number = value.matches("[0-9.]+") && !value.matches("[0-9]+\\.[0-9]+\\.[0-9.]+");
            boolean quoted = matcher.group(2) != null && !number;
            matcher.appendReplacement(filled, Matcher.quoteReplacement(quoted ? '"' + value + '"' : value));
        }
        return matcher.appendTail(filled).toString();
    }

    /** Writes the settings file in one step. */
    void writeSettings() throws IOException {
        String template = Files.readString(this.rig.root().resolve("deploy/settings.json.template"));
        Path next = this.rig.folder().resolve(this.name + ".next");
        Files.writeString(next, fill(template, this.fields));
        Files.move(next, settings(), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    private Path settings() {
        return this.rig.folder().resolve(this.name + ".json");
    }

    void start() throws IOException {
        writeSettings();
        String deploy = Files.readString(this.rig.root().resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        if (!run.find()) {
            throw new IOException("the deploy file has no line run");
        }
        List<String> words = new ArrayList<>();
        for (String word : run.group(1).split(" ")) {
            words.add(fill(word, this.fields));
        }
        if (words.get(0).equals("java")) {
            words.set(0, Path.of(System.getProperty("java.home"), "bin", "java").toString());
        }
        File log = this.rig.folder().resolve(this.name + ".log").toFile();
        ProcessBuilder builder = new ProcessBuilder(words).directory(this.rig.root().toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("SEQUOIALINK_NODE_FILE", settings().toString());
        this.process = builder.start();
    }

    /** Waits until the readiness question is answered with 200. */
    boolean awaitReady(long millis) throws InterruptedException {
        long until = System.nanoTime() + millis * 1_000_000L;
        while (System.nanoTime() - until < 0) {
            if (ready()) {
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }

    boolean ready() {
        try {
            HttpURLConnection question = (HttpURLConnection) URI
                .create("http://" + this.fields.get("listen.ready") + "/-/readiness")
                .toURL()
                .openConnection();
            question.setConnectTimeout(500);
            question.setReadTimeout(500);
            int status = question.getResponseCode();
            question.disconnect();
            return status == 200;
        }
        catch (IOException ex) {
            return false;
        }
    }

    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(this.process.pid())).start().waitFor();
    }

    boolean alive() {
        return this.process.isAlive();
    }

    int awaitExit(long millis) throws InterruptedException {
        return this.process.waitFor(millis, TimeUnit.MILLISECONDS) ? this.process.exitValue() : -1;
    }

    @Override
    public void close() throws InterruptedException {
        if (this.process != null && this.process.isAlive()) {
            this.process.destroyForcibly().waitFor();
        }
    }

}
