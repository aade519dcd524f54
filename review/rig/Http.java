import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from a stream. Stateless. */
final class Http {

    /**
     * A message.
     *
     * @param first request line or status line
     * @param headers headers by lower-case name
     * @param body the body as far as it arrived
     * @param complete whether the whole body arrived
     */
    record Message(String first, Map<String, String> headers, byte[] body, boolean complete) {

        Optional<String> header(String name) {
            return Optional.ofNullable(this.headers.get(name.toLowerCase(Locale.ROOT)));
        }

        int status() {
            return Integer.parseInt(this.first.split(" ")[1]);
        }

        String method() {
            return this.first.split(" ")[0];
        }

        String text() {
            return new String(this.body, StandardCharsets.ISO_8859_1);
        }

    }

    private Http() {
    }

    /** Reads a request; empty if the connection ends before one. */
    static Optional<Message> request(BufferedInputStream in) throws IOException {
        String line = line(in);
        if (line == null) {
            return Optional.empty();
        }
        Map<String, String> headers = headers(in);
        return Optional.of(body(in, line, headers, headers.containsKey("content-length")
                || headers.containsKey("transfer-encoding")));
    }

    /** Reads a response whose status line is as given by {@link #line}. */
    static Message response(BufferedInputStream in, String line, String method) throws IOException {
        Map<String, String> headers = headers(in);
        int status = Integer.parseInt(line.split(" ")[1]);
        boolean hasBody = !method.equals("HEAD") && status != 204 && status != 304;
        return body(in, line, headers, hasBody);
    }

    private static Message body(BufferedInputStream in, String line, Map<String, String> headers, boolean hasBody)
            throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete = true;
        if (hasBody) {
            try {
                readBody(in, headers, body);
            }
            catch (IOException ex) {
                complete = false;
            }
        }
        return new Message(line, headers, body.toByteArray(), complete);
    }

    private static void readBody(BufferedInputStream in, Map<String, String> headers, ByteArrayOutputStream body)
            throws IOException {
        if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
            for (int size = Integer.parseInt(line(in).trim(), 16); size > 0; size = Integer.parseInt(line(in), 16)) {
                copy(in, size, body);
                line(in);
            }
            line(in);
            return;
        }
        if (headers.containsKey("content-length")) {
            copy(in, Integer.parseInt(headers.get("content-length")), body);
            return;
        }
        in.transferTo(body);
    }

    private static void copy(InputStream in, int bytes, ByteArrayOutputStream to) throws IOException {
        byte[] buffer = new byte[65536];
        int left = bytes;
        while (left > 0) {
            int read = in.read(buffer, 0, Math.min(left, buffer.length));
            if (read < 0) {
                throw new EOFException("ended " + left + " bytes early");
            }
            to.write(buffer, 0, read);
            left -= read;
        }
    }

    private static Map<String, String> headers(BufferedInputStream in) throws IOException {
        Map<String, String> headers = new TreeMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            if (colon > 0) {
                headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
            }
        }
        return headers;
    }

    /** Reads a line without its end; null at the end of the stream. */
    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                bytes.write(next);
            }
            next = in.read();
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

}
