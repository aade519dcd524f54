import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * Stand-in of a runner: registers in the store, rejects what expects another instance,
 * and lets a handler run the rest. Thread-safe.
 */
final class Runner implements AutoCloseable {

    /** Runs a request and writes the response. */
    interface Handler {

        void run(Runner runner, Http.Message request, String id, OutputStream out) throws Exception;

    }

    static final int HEARTBEAT_MILLIS = 1200;

    private final Rig rig;

    private final String id;

    private final String service;

    private final String version;

    private final int slots;

    private final Handler handler;

    private final ServerSocket socket;

    private final long born = System.currentTimeMillis();

    private volatile String state = "ready";

    private volatile boolean registered = true;

    private int callSequence;

    Runner(Rig rig, String id, String service, String version, int slots, Handler handler) throws IOException {
        this.rig = rig;
        this.id = id;
        this.service = service;
        this.version = version;
        this.slots = slots;
        this.handler = handler;
        this.socket = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Rig.thread("runner " + id, this::accept);
    }

    String id() {
        return this.id;
    }

    String service() {
        return this.service;
    }

    String version() {
        return this.version;
    }

    /** Writes a line about this runner to record.txt. */
    void note(String text) {
        this.rig.note("runner " + this.id + " " + text);
    }

    String address() {
        return "127.0.0.1:" + this.socket.getLocalPort();
    }

    /** Registers now and again with each heartbeat. */
    Runner register() {
        heartbeat();
        Rig.thread("heartbeat " + this.id, () -> {
            while (this.registered) {
                Thread.sleep(HEARTBEAT_MILLIS);
                heartbeat();
            }
        });
        return this;
    }

    private synchronized void heartbeat() {
        if (this.registered) {
            this.rig.store().put("servers", this.id, entry());
        }
    }

    private String entry() {
        return "{\"service\":\"" + this.service + "\",\"address\":\"" + address() + "\",\"zone\":\"south-a\",\"version\":\""
                + this.version + "\",\"slots\":" + this.slots + ",\"state\":\"" + this.state
                + "\",\"cold_left_ms\":0,\"call_seq\":" + (this.callSequence++) + ",\"born\":" + this.born + "}";
    }

    /** Reports draining; returns when the store has accepted it. */
    synchronized long drain() {
        this.state = "draining";
        heartbeat();
        return System.nanoTime();
    }

    private void accept() throws IOException {
        while (!this.socket.isClosed()) {
            Socket connection = this.socket.accept();
            connection.setTcpNoDelay(true);
            Rig.thread("connection of " + this.id, () -> serve(connection));
        }
    }

    private void serve(Socket connection) throws Exception {
        try (connection) {
            BufferedInputStream in = new BufferedInputStream(connection.getInputStream());
            OutputStream out = connection.getOutputStream();
            for (var next = Http.request(in); next.isPresent(); next = Http.request(in)) {
                Http.Message request = next.get();
                String name = request.header("x-sequoialink-request-id").orElse("");
                String expected = request.header("x-sequoialink-expect-instance").orElse(this.id);
                if (!expected.equals(this.id)) {
                    write(out, "HTTP/1.1 421 Misdirected Request\r\nX-Sequoialink-Not-Executed: 1\r\n"
                            + "X-Sequoialink-Instance-Id: " + this.id + "\r\nX-Sequoialink-Request-Id: " + name
                            + "\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                this.handler.run(this, request, name, out);
            }
        }
    }

    /** Head of a response of this runner, without its last line. */
    String head(int status, String request) {
        return "HTTP/1.1 " + status + " X\r\nX-Sequoialink-Request-Id: " + request + "\r\nX-Sequoialink-Server-Seal: "
                + this.id + "." + status + "\r\nX-Sequoialink-Server-Load: 1,0," + this.slots + "\r\n";
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    @Override
    public void close() throws IOException {
        this.registered = false;
        this.socket.close();
    }

}
