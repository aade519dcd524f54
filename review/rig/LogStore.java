import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Stand-in of the platform's store: keyed topics with one partition, read and written
 * over HTTP as PROTOCOL.md says. It is always available. Thread-safe.
 */
final class LogStore implements AutoCloseable {

    private static final int ANSWER_MILLIS = 4;

    private record Entry(String key, byte[] value) {
    }

    private final Map<String, List<Entry>> topics = new HashMap<>();

    private final ExecutorService executor = Executors.newCachedThreadPool();

    private final HttpServer server;

    LogStore(String ip, int port) throws IOException {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        this.server = HttpServer.create(new InetSocketAddress(InetAddress.getByName(ip), port), 200);
        this.server.setExecutor(this.executor);
        this.server.createContext("/", this::serve);
        this.server.start();
    }

    int port() {
        return this.server.getAddress().getPort();
    }

    /** Appends a record; an empty value drops the key. Returning is the acknowledgement. */
    synchronized long put(String topic, String key, String value) {
        topic("keyed." + topic).add(new Entry(key, value.getBytes(StandardCharsets.UTF_8)));
        notifyAll();
        return System.nanoTime();
    }

    private List<Entry> topic(String name) {
        return this.topics.computeIfAbsent(name, (absent) -> new ArrayList<>());
    }

    private void serve(HttpExchange exchange) throws IOException {
        try (exchange) {
            Map<String, String> query = query(exchange);
            Thread.sleep(ANSWER_MILLIS);
            switch (exchange.getRequestURI().getPath()) {
                case "/-/log-newest" -> respond(exchange, 200, newest(query.get("topic")));
                case "/-/log-read" -> respond(exchange, 200, read(query));
                case "/-/log-append" -> append(exchange, query);
                default -> respond(exchange, 404, new byte[0]);
            }
        }
        catch (InterruptedException ex) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized byte[] newest(String topic) {
        Map<String, String> items = new LinkedHashMap<>();
        int offset = 0;
        for (Entry entry : topic(topic)) {
            items.remove(entry.key());
            if (entry.value().length > 0) {
                items.put(entry.key(), "{\"key\":\"" + entry.key() + "\",\"value\":\""
                        + Base64.getEncoder().encodeToString(entry.value()) + "\",\"offset\":" + offset + "}");
            }
            offset++;
        }
        return ("{\"items\":[" + String.join(",", items.values()) + "],\"truncated\":false,\"end\":" + offset + "}")
            .getBytes(StandardCharsets.UTF_8);
    }

    private synchronized byte[] read(Map<String, String> query) throws IOException, InterruptedException {
        List<Entry> log = topic(query.get("topic"));
        int from = Integer.parseInt(query.get("from"));
        long until = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000L;
        while (log.size() <= from && System.nanoTime() - until < 0) {
            wait(Math.max(1, (until - System.nanoTime()) / 1_000_000L));
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeLong(log.size());
        out.writeLong(0);
        for (int i = from; i < log.size(); i++) {
            byte[] key = log.get(i).key().getBytes(StandardCharsets.UTF_8);
            out.writeInt(1 + key.length + log.get(i).value().length);
            out.writeByte(key.length);
            out.write(key);
            out.write(log.get(i).value());
        }
        return bytes.toByteArray();
    }

    private void append(HttpExchange exchange, Map<String, String> query) throws IOException {
        ByteBuffer body = ByteBuffer.wrap(exchange.getRequestBody().readAllBytes());
        int offset;
        synchronized (this) {
            List<Entry> log = topic(query.get("topic"));
            if (query.containsKey("at") && Integer.parseInt(query.get("at")) != log.size()) {
                respond(exchange, 412, ("{\"end\":" + log.size() + "}").getBytes(StandardCharsets.UTF_8));
                return;
            }
            offset = log.size();
            while (body.remaining() >= Integer.BYTES) {
                int length = body.getInt();
                byte[] key = new byte[body.get() & 0xFF];
                body.get(key);
                byte[] value = new byte[length - 1 - key.length];
                body.get(value);
                log.add(new Entry(new String(key, StandardCharsets.UTF_8), value));
            }
            notifyAll();
        }
        respond(exchange, 200,
                ("{\"offset\":" + offset + ",\"end\":" + (offset + 1) + "}").getBytes(StandardCharsets.UTF_8));
    }

    private static void respond(HttpExchange exchange, int status, byte[] body) throws IOException {
        exchange.sendResponseHeaders(status, (body.length == 0) ? -1 : body.length);
        exchange.getResponseBody().write(body);
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> query = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        for (String part : ((raw != null) ? raw : "").split("&")) {
            String[] pair = part.split("=", 2);
            query.put(pair[0], (pair.length > 1) ? URLDecoder.decode(pair[1], StandardCharsets.UTF_8) : "");
        }
        return query;
    }

    @Override
    public void close() {
        this.server.stop(0);
        this.executor.shutdownNow();
    }

}
