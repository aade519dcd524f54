package io.sequoialink.bench.slopes;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import io.sequoialink.model.BackendServer;
import io.sequoialink.model.ServerId;
import io.sequoialink.model.ServerKind;
import io.sequoialink.remote.HttpAddress;
import io.sequoialink.remote.HttpClientPool;
import io.sequoialink.remote.HttpEngineClient;
import io.sequoialink.remote.HttpHostDirectory;
import io.sequoialink.remote.HttpPlatformLog;
import io.sequoialink.remote.PlatformException;
import io.sequoialink.remote.PlatformLog;

/**
 * The bytes of requests that a host sends to engines and to the platform for control: the
 * size of one request as a socket receives it, times the calls that a host makes.
 * Stateless and thread-safe.
 */
final class HttpCosts {

	private static final int WATCHED_ENGINES = 24;

	private static final int LOAD_TURNS_A_SECOND = 4;

	private static final int LOG_READS_A_SECOND = 5;

	private static final Duration TIMEOUT = Duration.ofSeconds(2);

	private static final byte[] REFUSAL = "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
		.getBytes(StandardCharsets.US_ASCII);

	private HttpCosts() {
	}

	/**
	 * Measures the requests.
	 * @param hosts hosts to put into the rows; the costs don't depend on it
	 * @return the costs a host
	 * @throws IOException if no socket can be opened
	 */
	static List<Duty> measure(int hosts) throws IOException {
		int load = requestBytes(
				(pool, address) -> new HttpEngineClient(pool, TIMEOUT).load(new BackendServer(new ServerId("engine-1"),
						ServerKind.ENGINE, address.ip(), address.port(), "zone-1", Set.of(), false)));
		int read = requestBytes((pool,
				address) -> new HttpPlatformLog(pool, address, TIMEOUT).stream(PlatformLog.CONFIG).read(1_000, 512));
		int list = requestBytes((pool, address) -> new HttpHostDirectory(pool, address, TIMEOUT).list());
		List<Duty> duties = new ArrayList<>();
		duties.add(
				duty("load watching, 24 engines 4 times a second", hosts, load, WATCHED_ENGINES * LOAD_TURNS_A_SECOND));
		duties.add(duty("log tail, 5 reads a second", hosts, read, LOG_READS_A_SECOND));
		duties.add(duty("list of servers, 1 read a second", hosts, list, 1));
		return duties;
	}

	private static Duty duty(String name, int hosts, int bytes, int calls) {
		return new Duty(name, hosts, (double) bytes * calls, calls, 0, 1);
	}

	private static int requestBytes(Call call) throws IOException {
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
				HttpClientPool pool = new HttpClientPool()) {
			int[] bytes = new int[1];
			Thread reader = new Thread(() -> bytes[0] = readOne(server), "slopes-http");
			reader.start();
			try {
				call.run(pool, new HttpAddress("127.0.0.1", server.getLocalPort()));
			}
			catch (PlatformException ex) {
				// the socket refuses every call after it has counted its bytes
			}
			reader.join(TIMEOUT.toMillis());
			return bytes[0];
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException("interrupted", ex);
		}
	}

	private static int readOne(ServerSocket server) {
		try (Socket socket = server.accept()) {
			InputStream in = socket.getInputStream();
			int count = 0;
			int ends = 0;
			while (ends < 4) {
				int next = in.read();
				ends = (next == '\r' || next == '\n') ? ends + 1 : 0;
				count++;
			}
			socket.getOutputStream().write(REFUSAL);
			return count;
		}
		catch (IOException ex) {
			return 0;
		}
	}

	/** A call to a system outside. */
	@FunctionalInterface
	private interface Call {

		/**
		 * Makes the call.
		 * @param pool the connections
		 * @param address where to send it
		 * @throws PlatformException if it was not answered
		 */
		void run(HttpClientPool pool, HttpAddress address) throws PlatformException;

	}

}
