package io.sequoialink.gateway.relay;

import java.io.IOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.sequoialink.decision.observation.ServerNotice;

/**
 * Encodes the notices of backend servers as datagrams. Stateless. The format is binary so
 * that a datagram holds many servers. Times are sent as ages in milliseconds, rounded up,
 * so that a notice never appears newer at its receiver than it is.
 *
 * <pre>
 * version(1), then for each server: hash(8) flags(1)
 *   flag 1: age of the shutdown notice(2)   flag 2: remaining back-off time(4)
 * </pre>
 */
final class ServerNoticeFormat {

	/**
	 * First byte of each datagram; a datagram of {@link BatchFormat} begins with a brace
	 * instead.
	 */
	static final byte VERSION = 1;

	/** Maximum encoded size of one server, in bytes. */
	static final int MAX_SERVER_BYTES = 15;

	private static final int SHUTTING_DOWN_FLAG = 1;

	private static final int BACK_OFF_FLAG = 2;

	private static final int MAX_AGE_MILLIS = 0xFFFF;

	private ServerNoticeFormat() {
	}

	/**
	 * Encodes as many servers as fit into a datagram.
	 * @param notices notices by server hash
	 * @param nowNanos monotonic time in nanoseconds
	 * @return the datagram
	 */
	static byte[] write(Map<Long, ServerNotice> notices, long nowNanos) {
		ByteBuffer buffer = ByteBuffer.allocate(BatchFormat.MAX_DATAGRAM_BYTES);
		buffer.put(VERSION);
		notices.forEach((server, notice) -> {
			if (buffer.remaining() >= MAX_SERVER_BYTES) {
				write(buffer, server, notice, nowNanos);
			}
		});
		byte[] datagram = new byte[buffer.position()];
		buffer.flip().get(datagram);
		return datagram;
	}

	private static void write(ByteBuffer buffer, long server, ServerNotice notice, long now) {
		boolean shuttingDown = notice.shutdownAtNanos() != ServerNotice.NEVER;
		boolean backsOff = notice.backoffUntilNanos() != ServerNotice.NEVER && notice.backoffUntilNanos() > now;
		buffer.putLong(server);
		buffer.put((byte) ((shuttingDown ? SHUTTING_DOWN_FLAG : 0) | (backsOff ? BACK_OFF_FLAG : 0)));
		if (shuttingDown) {
			long age = TimeUnit.NANOSECONDS.toMillis(now - notice.shutdownAtNanos()) + 1;
			buffer.putShort((short) Math.max(0, Math.min(MAX_AGE_MILLIS, age)));
		}
		if (backsOff) {
			long millis = TimeUnit.NANOSECONDS.toMillis(notice.backoffUntilNanos() - now);
			buffer.putInt((int) Math.min(Integer.MAX_VALUE, millis));
		}
	}

	/**
	 * Decodes a datagram.
	 * @param datagram the payload
	 * @param nowNanos monotonic time in nanoseconds
	 * @return notices by server hash
	 * @throws IOException if the datagram has an unsupported version or is truncated
	 */
	static Map<Long, ServerNotice> read(byte[] datagram, long nowNanos) throws IOException {
		ByteBuffer buffer = ByteBuffer.wrap(datagram);
		Map<Long, ServerNotice> notices = new HashMap<>();
		try {
			if (buffer.get() != VERSION) {
				throw new IOException("unsupported version");
			}
			while (buffer.hasRemaining()) {
				notices.merge(buffer.getLong(), read(buffer, nowNanos), ServerNotice::merge);
			}
			return notices;
		}
		catch (BufferUnderflowException ex) {
			throw new IOException("torn", ex);
		}
	}

	private static ServerNotice read(ByteBuffer buffer, long now) {
		int flags = buffer.get();
		long shutdownNoticeAt = ((flags & SHUTTING_DOWN_FLAG) != 0) ? now - toNanos(buffer.getShort() & MAX_AGE_MILLIS)
				: ServerNotice.NEVER;
		long backoffUntil = ((flags & BACK_OFF_FLAG) != 0) ? now + toNanos(Math.max(0, buffer.getInt()))
				: ServerNotice.NEVER;
		return new ServerNotice(shutdownNoticeAt, backoffUntil);
	}

	private static long toNanos(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

}
