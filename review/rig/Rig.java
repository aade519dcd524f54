import java.io.IOException;
import java.io.PrintWriter;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;

/**
 * A small deployment on loopback: a store, entry hosts as processes, and runners. Writes
 * what happens to record.txt. Thread-safe where threads of runners and clients use it.
 */
final class Rig implements AutoCloseable {

    static final String HOST = "studio.example";

    static final int HELD = 0;

    static final int BROKEN = 1;

    static final int NOT_RUN = 2;

    /** Something that may fail. */
    interface Work {

        void run() throws Exception;

    }

    /** A case: returns whether the rule held. */
    interface Case {

        boolean run(Rig rig) throws Exception;

    }

    private final Path root;

    private final Path folder;

    private final PrintWriter record;

    private final long began = System.nanoTime();

    private final LogStore store;

    private final List<EntryProcess> hosts = new ArrayList<>();

    private final List<Runner> runners = new ArrayList<>();

    private Rig(Path root, Path caseFolder) throws IOException {
        this.root = root;
        this.folder = Files.createTempDirectory("sequoialink-review");
        this.record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
        this.store = new LogStore("127.0.0.1", freePort("127.0.0.1"));
        this.storeAddress = "127.0.0.1:" + this.store.port();
    }

    private final String storeAddress;

    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** Runs a case, cleans up and exits with its verdict. */
    static void main(String[] arguments, Case work) {
        int verdict = NOT_RUN;
        Thread watchdog = thread("watchdog", () -> {
            Thread.sleep(110_000);
            System.err.println("the case took too long");
            Runtime.getRuntime().exit(NOT_RUN);
        });
        try (Rig rig = new Rig(Path.of(arguments[0]).toAbsolutePath(), Path.of(arguments[1]))) {
            Runtime.getRuntime().addShutdownHook(new Thread(rig::endProcesses));
            try {
                rig.note("TROUBLE=" + (trouble() ? 1 : 0));
                boolean held = work.run(rig);
                verdict = held ? HELD : BROKEN;
                rig.note("verdict: the rule " + (held ? "held" : "was broken"));
            }
            catch (Exception ex) {
                rig.note("the case could not run: " + ex);
                ex.printStackTrace();
            }
        }
        catch (Exception ex) {
            ex.printStackTrace();
        }
        watchdog.interrupt();
        System.exit(verdict);
    }

    Path root() {
        return this.root;
    }

    Path folder() {
        return this.folder;
    }

    LogStore store() {
        return this.store;
    }

    List<EntryProcess> hosts() {
        return this.hosts;
    }

    /** Writes a line with the time since the start to record.txt. */
    void note(String text) {
        synchronized (this.record) {
            this.record.printf("%8.3f  %s%n", (System.nanoTime() - this.began) / 1e9, text);
        }
    }

    /** Adds a runner, which registers at once. */
    Runner runner(String id, String service, String version, int slots, Runner.Handler handler) throws IOException {
        Runner runner = new Runner(this, id, service, version, slots, handler).register();
        this.runners.add(runner);
        return runner;
    }

    /** Adds a server that does not register. */
    Runner unregistered(String id, String service, String version, int slots, Runner.Handler handler)
            throws IOException {
        Runner runner = new Runner(this, id, service, version, slots, handler);
        this.runners.add(runner);
        return runner;
    }

    /** Starts entry hosts, each with an IP address of its own and the same ports. */
    void startHosts(int count) throws Exception {
        String net = "127." + (20 + new Random().nextInt(200)) + "." + new Random().nextInt(250) + ".";
        int front = freePort(net + 1);
        int ready = freePort(net + 1);
        int internal = freePort(net + 1);
        for (int i = 1; i <= count; i++) {
            this.hosts.add(new EntryProcess(this, "edge-south-a-" + i, net + i, front, ready, internal,
                    this.storeAddress));
        }
        for (EntryProcess host : this.hosts) {
            host.start();
        }
        for (EntryProcess host : this.hosts) {
            if (!host.awaitReady(20_000)) {
                throw new IOException(host.name() + " did not become ready");
            }
            note(host.name() + " is ready");
        }
    }

    private static int freePort(String ip) throws IOException {
        Random random = new Random();
        for (int i = 0; i < 200; i++) {
            int port = 20_000 + random.nextInt(10_000);
            InetAddress address = InetAddress.getByName(ip);
            try (ServerSocket tcp = new ServerSocket(); DatagramSocket udp = new DatagramSocket(null)) {
                tcp.bind(new InetSocketAddress(address, port));
                udp.bind(new InetSocketAddress(address, port));
                return port;
            }
            catch (IOException ex) {
                // taken: try another
            }
        }
        throw new IOException("no free port");
    }

    static Thread thread(String name, Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            }
            catch (Exception ex) {
                // the other side has gone, or the case is over
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void endProcesses() {
        for (EntryProcess host : this.hosts) {
            try {
                host.close();
            }
            catch (InterruptedException ex) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        for (Runner runner : this.runners) {
            runner.close();
        }
        this.store.close();
        this.record.close();
        if (System.getenv("KEEP") != null) {
            System.err.println("logs are in " + this.folder);
            return;
        }
        try (Stream<Path> files = Files.walk(this.folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

}
