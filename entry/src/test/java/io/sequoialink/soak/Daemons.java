package io.sequoialink.soak;

import java.io.IOException;
import java.net.ServerSocket;

/**
 * Threads that end with the process. Stateless.
 */
final class Daemons {

	private static final int STACK_BYTES = 256 * 1024;

	private Daemons() {
	}

	static Thread start(String name, Runnable work) {
		Thread thread = new Thread(null, work, name, STACK_BYTES);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	/**
	 * Closes a listening socket and waits until it takes no more connections: it takes
	 * them until the thread that waits in {@code accept} has woken.
	 */
	static void stopListening(ServerSocket listening, Thread accepting) throws IOException {
		listening.close();
		try {
			accepting.join();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	static void sleep(long millis) {
		try {
			Thread.sleep(Math.max(0, millis));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
