package io.sequoialink.soak;

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

	static void sleep(long millis) {
		try {
			Thread.sleep(Math.max(0, millis));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
