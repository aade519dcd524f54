import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's connection to an entry host. Not thread-safe. */
final class Client implements AutoCloseable {

    private final Socket socket = new Socket();

    private final BufferedInputStream in;

    Client(EntryProcess host, int receiveBufferBytes, int timeoutMillis) throws IOException {
        if (receiveBufferBytes > 0) {
            this.socket.setReceiveBufferSize(receiveBufferBytes);
        }
        this.socket.setTcpNoDelay(true);
        this.socket.connect(new InetSocketAddress(host.ip(), host.frontPort()), 1000);
        this.socket.setSoTimeout(timeoutMillis);
        this.in = new BufferedInputStream(this.socket.getInputStream());
    }

    Client(EntryProcess host, int timeoutMillis) throws IOException {
        this(host, 0, timeoutMillis);
    }

    BufferedInputStream in() {
        return this.in;
    }

    void send(String method, String path, String id, String headers, String body) throws IOException {
        String length = (body.isEmpty() && !method.equals("POST")) ? "" : "Content-Length: " + body.length() + "\r\n";
        String message = method + " " + path + " HTTP/1.1\r\nHost: " + Rig.HOST + "\r\nX-Sequoialink-Request-Id: " + id
                + "\r\n" + headers + length + "\r\n" + body;
        this.socket.getOutputStream().write(message.getBytes(StandardCharsets.ISO_8859_1));
        this.socket.getOutputStream().flush();
    }

    /** Sends the head of a request whose body follows by {@link #write}. */
    void head(String method, String path, String id, String headers, int bodyBytes) throws IOException {
        write((method + " " + path + " HTTP/1.1\r\nHost: " + Rig.HOST + "\r\nX-Sequoialink-Request-Id: " + id + "\r\n"
                + headers + "Content-Length: " + bodyBytes + "\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1));
    }

    void write(byte[] bytes) throws IOException {
        this.socket.getOutputStream().write(bytes);
        this.socket.getOutputStream().flush();
    }

    /** Reads a line as it comes, which should be a status line; null at the end. */
    String line() throws IOException {
        return Http.line(this.in);
    }

    Http.Message answer(String line, String method) throws IOException {
        return Http.response(this.in, line, method);
    }

    /** Sends a request and reads its answer. */
    Http.Message exchange(String method, String path, String id, String headers, String body) throws IOException {
        send(method, path, id, headers, body);
        String line = line();
        if (line == null) {
            throw new IOException("the connection ended without an answer");
        }
        return answer(line, method);
    }

    @Override
    public void close() throws IOException {
        this.socket.close();
    }

}
