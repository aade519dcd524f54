package io.sequoialink.remote;

/**
 * Retention has removed a record that a reader still wanted. The reader's state has a gap
 * and must be rebuilt from a checkpoint. Immutable.
 */
public class TrimmedException extends PlatformException {

	private final long first;

	public TrimmedException(long wanted, long first) {
		super("offset " + wanted + " was trimmed; the oldest readable offset is " + first);
		this.first = first;
	}

	/**
	 * Returns the oldest offset that can still be read.
	 * @return an offset
	 */
	public long first() {
		return this.first;
	}

}
