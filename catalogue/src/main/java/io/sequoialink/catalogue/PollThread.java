package io.sequoialink.catalogue;

import java.time.Duration;

import io.sequoialink.remote.LogUnavailableException;

/**
 * A daemon thread that polls a catalogue and writes its checkpoints. Thread-safe.
 */
final class PollThread {

	private final LogCatalogue catalogue;

	private final Duration period;

	private Thread thread;

	PollThread(LogCatalogue catalogue, Duration period) {
		this.catalogue = catalogue;
		this.period = period;
	}

	synchronized void start() {
		if (this.thread == null) {
			this.thread = new Thread(this::run, "catalogue");
			this.thread.setDaemon(true);
			this.thread.start();
		}
	}

	synchronized void close() {
		if (this.thread != null) {
			this.thread.interrupt();
		}
	}

	private void run() {
		while (!Thread.currentThread().isInterrupted()) {
			pollOnce();
			try {
				Thread.sleep(this.period.toMillis());
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private void pollOnce() {
		try {
			this.catalogue.poll();
			this.catalogue.writeCheckpointIfDue();
		}
		catch (LogUnavailableException ex) {
			// The catalogue has reported it; the next period tries again.
		}
	}

}
