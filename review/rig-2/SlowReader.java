import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;

/**
 * A planned stop of a host while a client slowly reads an answer that its runner has
 * given completely.
 */
final class SlowReader {

	private static final int BYTES = 8_200_000;

	/** Time for which the client's line is slow, and bytes that it carries meanwhile. */
	private static final int SLOW_MILLIS = 3500;

	private static final int SLOW_BYTES = 1_400_000;

	/** Time in which it carries the rest. */
	private static final int REST_MILLIS = 3000;

	private SlowReader() {
	}

	public static void main(String[] arguments) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int result = 2;
		try (Rig rig = new Rig(Path.of(arguments[0], "record.txt"))) {
			result = run(rig, trouble);
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(result);
	}

	private static int run(Rig rig, boolean trouble) throws IOException {
		byte[] body = new byte[BYTES];
		for (int i = 0; i < body.length; i++) {
			body[i] = (byte) ('a' + i % 26);
		}
		rig.store.put("op", "config",
				Rig.config(1, List.of(Rig.route("export", "/export/", "non_idempotent", "app", 1, 25000)),
						List.of("app")));
		for (int i = 0; i < 2; i++) {
			new Rig.Runner(rig, "i-" + i, "app", "south-a", (runner, request, socket) -> {
				rig.note("runner %s runs %s", runner.id, request.header("X-Sequoialink-Request-Id"));
				Rig.sleep(40);
				Rig.Runner.answer(request, socket, body);
				rig.note("runner %s has sent its whole answer", runner.id);
				return true;
			}).start();
		}
		Rig.EntryProcess host = rig.startHost("edge-south-a-1", "127.0.0.11", "south-a");
		rig.startHost("edge-south-b-1", "127.0.0.12", "south-b");
		rig.awaitReady();
		Rig.sleep(4000);
		return read(rig, host, trouble, body);
	}

	private static int read(Rig rig, Rig.EntryProcess host, boolean trouble, byte[] sent) throws IOException {
		try (Socket socket = host.connectSlowly()) {
			socket.setSoTimeout(20_000);
			Rig.write(socket.getOutputStream(),
					Rig.head("POST", "/export/all", "r-1", "n2ctnfzs989anu6wsjnb", 20000, 2), "{}".getBytes());
			rig.note("client has sent its request");
			InputStream in = new BufferedInputStream(socket.getInputStream(), 2048);
			Rig.Message answer = Rig.readHead(in);
			rig.note("client gets %s, Content-Length %s", answer.start, answer.header("Content-Length"));
			if (answer.status() != 200) {
				return 2;
			}
			Rig.sleep(300);
			if (trouble) {
				host.terminate();
			}
			long began = System.nanoTime();
			int read = 0;
			byte[] piece = new byte[8000];
			String end = "complete";
			try {
				while (read < sent.length) {
					int count = in.readNBytes(piece, 0, Math.min(piece.length, sent.length - read));
					read += count;
					if (count < piece.length && read < sent.length) {
						end = "cut: end of the connection";
						break;
					}
					Rig.sleep(dueMillis(read) - (System.nanoTime() - began) / 1_000_000);
				}
			}
			catch (IOException ex) {
				end = "cut: " + ex;
			}
			rig.note("client has read %d of %d bytes, %s, %.2f s after the signal", read, sent.length, end,
					(System.nanoTime() - began) / 1e9);
			return (read == sent.length) ? 0 : 1;
		}
	}

	private static long dueMillis(int read) {
		return (read <= SLOW_BYTES) ? (long) SLOW_MILLIS * read / SLOW_BYTES
				: SLOW_MILLIS + (long) REST_MILLIS * (read - SLOW_BYTES) / (BYTES - SLOW_BYTES);
	}

}
