package io.sequoialink.soak;

import java.io.IOException;
import java.net.ServerSocket;

/**
 * Starts daemon threads with a small stack, and waits for the end of a thread or of a
 * given time. An interrupt ends a wait and leaves the interrupt flag set.
 */
final class DaemonThreads {

	private static final int STACK_BYTES = 256 * 1024;

	private DaemonThreads() {
	}

	static Thread start(String name, Runnable work) {
		Thread thread = new Thread(null, work, name, STACK_BYTES);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	/**
	 * Closes a server socket and waits for the thread that calls {@code accept}: until
	 * that thread has woken up, the socket still accepts connections.
	 */
	static void stopListening(ServerSocket serverSocket, Thread acceptThread) throws IOException {
		serverSocket.close();
		try {
			acceptThread.join();
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
