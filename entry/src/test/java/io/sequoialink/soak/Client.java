package io.sequoialink.soak;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.PushbackInputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;

/**
 * One client that sends request after request, keeps its connection while it can, retries
 * as it may, and now and then leaves early. Confined to its thread.
 */
final class Client {

	private static final AtomicLong IDS = new AtomicLong();

	private static final int RETRIES = 2;

	/** Time beyond the route's own after which the client gives up, in milliseconds. */
	private static final int PATIENCE_MILLIS = 1500;

	private final Ledger ledger;

	private final Random random;

	private final String account;

	private HostProcess host;

	private Socket socket;

	private PushbackInputStream in;

	Client(Ledger ledger, String account, long seed) {
		this.ledger = ledger;
		this.account = account;
		this.random = new Random(seed);
	}

	/**
	 * Sends one request with its retries.
	 * @param rotation where to find hosts
	 */
	void ask(Rotation rotation) {
		Asked.Kind kind = Asked.Kind.values()[this.random.nextInt(3)];
		String path = "/" + kind.name().toLowerCase(java.util.Locale.ROOT) + "/x" + this.random.nextInt(50);
		ask(rotation, kind, path, "work " + this.random.nextInt(1000));
	}

	void ask(Rotation rotation, Asked.Kind kind, String path, String body) {
		for (int attempt = 0; attempt <= RETRIES; attempt++) {
			Result result = attempt(rotation.pick(this.random), kind, path, body, attempt > 0);
			if (result.status == 200 || result.status == -1) {
				return;
			}
			boolean promised = result.status == 503 || result.status == 429;
			if (!kind.repeatable && !promised && result.status != 0) {
				return;
			}
			if (kind == Asked.Kind.ONCE && result.status == 0 && result.read) {
				return;
			}
			Daemons.sleep(Math.min(1000, result.retryMillis));
		}
	}

	/**
	 * Sends one attempt.
	 * @param to host that is used if there is no open connection
	 * @param fresh whether the connection must be new
	 * @param path path of the request
	 * @param kind kind of the request
	 * @param body body of the request
	 * @return what came back
	 */
	Result attempt(HostProcess to, Asked.Kind kind, String path, String body, boolean fresh) {
		if (fresh) {
			close();
		}
		if (!connected(to)) {
			this.ledger.count("no connection");
			return new Result(0, false, 100);
		}
		String id = "q" + IDS.incrementAndGet();
		Asked asked = this.ledger.sent(id, kind, this.account, this.host.name(), path);
		try {
			return exchange(asked, body);
		}
		catch (SocketTimeoutException ex) {
			this.ledger.unanswered(asked);
			close();
			return new Result(0, true, 0);
		}
		catch (IOException ex) {
			this.ledger.cut(asked, this.host.stopping());
			close();
			return new Result(0, true, 50);
		}
	}

	private boolean connected(HostProcess to) {
		if (this.socket != null) {
			return true;
		}
		try {
			this.host = to;
			this.socket = new Socket();
			this.socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), to.clients()), 1000);
			this.in = new PushbackInputStream(new BufferedInputStream(this.socket.getInputStream()));
			return true;
		}
		catch (IOException ex) {
			close();
			return false;
		}
	}

	private Result exchange(Asked asked, String body) throws IOException {
		HttpWire.write(this.socket.getOutputStream(),
				"POST " + asked.path + " HTTP/1.1\r\nHost: soak.example\r\n" + Wire.REQUEST_ID + ": " + asked.id
						+ "\r\n" + Wire.CREDENTIAL + ": key-" + this.account + "\r\n" + Wire.DEADLINE + ": "
						+ (Bounds.TIMEOUT_MILLIS + PATIENCE_MILLIS) + "\r\n" + Wire.HOLD + ": h1\r\nContent-Length: "
						+ body.length() + "\r\n\r\n" + body);
		if (this.random.nextInt(100) < 3 && leave(asked)) {
			return new Result(-1, true, 0);
		}
		this.socket.setSoTimeout(Bounds.TIMEOUT_MILLIS + PATIENCE_MILLIS);
		HttpWire.Head head = HttpWire.readHead(this.in).orElseThrow(EOFException::new);
		double seconds = Double.parseDouble(head.header("retry-after").orElse("0"));
		this.ledger.head(asked, head.status(), head.header(Wire.SEAL), seconds, !body.startsWith("poison"));
		if (head.chunked()) {
			readStream(asked);
		}
		else {
			this.ledger.body(asked, head.status(), HttpWire.readBody(this.in, head));
		}
		this.ledger.answered(asked, head.status());
		if (head.last()) {
			close();
		}
		return new Result(head.status(), true, (long) (1000 * seconds));
	}

	// Waits a moment and closes the connection unless an answer has begun.
	private boolean leave(Asked asked) throws IOException {
		this.socket.setSoTimeout(20 + this.random.nextInt(300));
		try {
			int next = this.in.read();
			if (next < 0) {
				throw new EOFException();
			}
			this.in.unread(next);
			return false;
		}
		catch (SocketTimeoutException ex) {
			close();
			this.ledger.left(asked);
			return true;
		}
	}

	private void readStream(Asked asked) throws IOException {
		StreamCheck check = new StreamCheck();
		String chunk = HttpWire.readChunk(this.in);
		while (!chunk.isEmpty()) {
			check.take(chunk);
			chunk = HttpWire.readChunk(this.in);
		}
		check.ended().ifPresent((fault) -> this.ledger.broken("ORDER", asked.id, fault));
	}

	void close() {
		if (this.socket == null) {
			return;
		}
		try {
			this.socket.close();
		}
		catch (IOException ex) {
			this.ledger.count("close failed");
		}
		this.socket = null;
	}

	/**
	 * What came back: a status, 0 for none, -1 if the client left. Immutable.
	 */
	record Result(int status, boolean read, long retryMillis) {
	}

}
