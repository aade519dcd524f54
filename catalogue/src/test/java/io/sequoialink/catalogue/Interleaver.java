package io.sequoialink.catalogue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Semaphore;

/**
 * Runs tasks one at a time and switches between them at their calls of {@link #step}, in
 * an order that a seed decides. Tasks must hold no lock across a step that another task
 * may want.
 */
public final class Interleaver {

	private static final ThreadLocal<Task> CURRENT = new ThreadLocal<>();

	private final Random random;

	private final Clock clock;

	private final List<Task> tasks = new ArrayList<>();

	private final Semaphore scheduler = new Semaphore(0);

	public Interleaver(Random random, Clock clock) {
		this.random = random;
		this.clock = clock;
	}

	/** Adds a task, which starts when it is first picked. */
	public void add(Body body) {
		this.tasks.add(new Task(body));
	}

	/** Lets another task run. Called by tasks between any two effects on the outside. */
	public void step() {
		Task task = CURRENT.get();
		if (task != null) {
			this.scheduler.release();
			task.turn.acquireUninterruptibly();
			if (task.killed) {
				throw new Killed();
			}
		}
	}

	/** Makes the running task wait for some time of the clock. */
	public void pause(long millis) {
		CURRENT.get().wakeMillis = this.clock.millis() + millis;
		step();
	}

	/** Runs until every task has ended. */
	public void run(Runnable betweenSteps) throws Exception {
		while (this.tasks.stream().anyMatch((task) -> !task.ended)) {
			List<Task> ready = this.tasks.stream()
				.filter((task) -> !task.ended && task.wakeMillis <= this.clock.millis())
				.toList();
			if (!ready.isEmpty()) {
				resume(ready.get(this.random.nextInt(ready.size())));
			}
			betweenSteps.run();
		}
		for (Task task : this.tasks) {
			if (task.failure != null) {
				throw new IllegalStateException(task.failure);
			}
		}
	}

	/** Ends one random task that has begun, as a crash of its host would. */
	public void killOne() {
		List<Task> begun = this.tasks.stream().filter((task) -> !task.ended && task.thread != null).toList();
		if (!begun.isEmpty()) {
			Task victim = begun.get(this.random.nextInt(begun.size()));
			victim.killed = true;
			resume(victim);
		}
	}

	private void resume(Task task) {
		if (task.thread == null) {
			task.thread = new Thread(() -> runTask(task));
			task.thread.setDaemon(true);
			task.thread.start();
		}
		task.turn.release();
		this.scheduler.acquireUninterruptibly();
	}

	private void runTask(Task task) {
		CURRENT.set(task);
		task.turn.acquireUninterruptibly();
		try {
			task.body.run();
		}
		catch (Killed ex) {
			task.killed = true;
		}
		catch (Throwable ex) {
			task.failure = ex;
		}
		finally {
			task.ended = true;
			this.scheduler.release();
		}
	}

	/** The clock of a run in milliseconds. */
	@FunctionalInterface
	public interface Clock {

		long millis();

	}

	/** What a task does. */
	@FunctionalInterface
	public interface Body {

		void run() throws Exception;

	}

	/** Ends a task at its next step. */
	private static final class Killed extends Error {

	}

	private static final class Task {

		private final Body body;

		private final Semaphore turn = new Semaphore(0);

		private Thread thread;

		private volatile boolean killed;

		private volatile boolean ended;

		private volatile Throwable failure;

		private volatile long wakeMillis;

		private Task(Body body) {
			this.body = body;
		}

	}

}
