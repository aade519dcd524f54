package io.sequoialink.gateway.permit;

import java.io.IOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.sequoialink.decision.limits.ColdNotice;
import io.sequoialink.decision.limits.LimitObservation;
import io.sequoialink.decision.limits.PermitDecision;
import io.sequoialink.decision.limits.PermitIssuer;

/**
 * Encodes messages about limits as datagrams. Stateless. Times are sent in milliseconds,
 * rounded up, so that an observation never looks younger and a permit never becomes valid
 * earlier at its receiver; a negative or an oversized one is sent as the nearest value.
 *
 * <pre>
 * version(1) kind(1) sender length(1) sender, then by kind
 *   ask:    number(4) server(8) slice(1) rate(8) age(4) longest wait(4)
 *   answer: number(4) granted(1) delay(4) next(4)
 *   limits: for each server: server(8) rate(8) age(4); an infinite rate is no limit
 *   query:  nothing
 *   ask about a cold server: as ask, then rate(8) time left(4)
 * </pre>
 */
final class PermitFormat {

	/** First byte of each datagram. */
	static final byte VERSION = 2;

	/** Most bytes of a datagram, and of the limits in it. */
	static final int MAX_DATAGRAM_BYTES = 1200;

	private static final int SERVER_BYTES = 20;

	private static final int MAX_HEAD_BYTES = 3 + 255;

	/** Most servers in one datagram. */
	static final int MAX_SERVERS = (MAX_DATAGRAM_BYTES - MAX_HEAD_BYTES) / SERVER_BYTES;

	private static final byte ASK = 1;

	private static final byte ANSWER = 2;

	private static final byte LIMITS = 3;

	private static final byte QUERY = 4;

	/**
	 * A kind of its own, since builds before it would read only the first part as a
	 * question for a warm server; they drop unknown kinds.
	 */
	private static final byte ASK_COLD = 5;

	/** Longest cold time that another host is believed: an hour. */
	private static final long MAX_COLD_NANOS = TimeUnit.HOURS.toNanos(1);

	private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

	private PermitFormat() {
	}

	/**
	 * Encodes a message.
	 * @param message the message; of limits, the first {@link #MAX_SERVERS} are encoded
	 * @param nowNanos current monotonic time in nanoseconds
	 * @return the datagram
	 */
	static byte[] write(PermitMessage message, long nowNanos) {
		ByteBuffer buffer = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);
		byte[] sender = message.sender().getBytes(StandardCharsets.UTF_8);
		buffer.put(VERSION).put(kind(message)).put((byte) sender.length).put(sender);
		if (message instanceof PermitMessage.Ask ask) {
			buffer.putInt(ask.number()).putLong(ask.server()).put((byte) ask.slice());
			write(buffer, ask.limit(), nowNanos);
			buffer.putInt(millis(ask.maxWaitNanos()));
			ask.cold().ifPresent((cold) -> buffer.putDouble(cold.perSecond()).putInt(millis(cold.leftNanos())));
		}
		else if (message instanceof PermitMessage.Answer answer) {
			PermitDecision decision = answer.decision();
			buffer.putInt(answer.number()).put((byte) (decision.granted() ? 1 : 0));
			buffer.putInt(millis(decision.delayNanos())).putInt(millis(decision.nextNanos()));
		}
		else if (message instanceof PermitMessage.Limits told) {
			told.limits().entrySet().stream().limit(MAX_SERVERS).forEach((entry) -> {
				buffer.putLong(entry.getKey());
				write(buffer, entry.getValue(), nowNanos);
			});
		}
		byte[] datagram = new byte[buffer.position()];
		buffer.flip().get(datagram);
		return datagram;
	}

	private static byte kind(PermitMessage message) {
		if (message instanceof PermitMessage.Ask ask) {
			return ask.cold().isPresent() ? ASK_COLD : ASK;
		}
		if (message instanceof PermitMessage.Answer) {
			return ANSWER;
		}
		return (message instanceof PermitMessage.Limits) ? LIMITS : QUERY;
	}

	private static void write(ByteBuffer buffer, LimitObservation limit, long nowNanos) {
		buffer.putDouble(limit.perSecond()).putInt(millis(nowNanos - limit.atNanos()));
	}

	private static int millis(long nanos) {
		long millis = (Math.max(0, nanos) + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI;
		return (int) Math.min(Integer.MAX_VALUE, millis);
	}

	/**
	 * Decodes a datagram.
	 * @param datagram the payload
	 * @param nowNanos current monotonic time in nanoseconds
	 * @return the message
	 * @throws IOException if the datagram is no valid message
	 */
	static PermitMessage read(byte[] datagram, long nowNanos) throws IOException {
		ByteBuffer buffer = ByteBuffer.wrap(datagram);
		try {
			if (buffer.get() != VERSION) {
				throw new IOException("unsupported version");
			}
			byte kind = buffer.get();
			byte[] name = new byte[Byte.toUnsignedInt(buffer.get())];
			buffer.get(name);
			return read(kind, new String(name, StandardCharsets.UTF_8), buffer, nowNanos);
		}
		catch (BufferUnderflowException ex) {
			throw new IOException("truncated", ex);
		}
	}

	private static PermitMessage read(byte kind, String sender, ByteBuffer buffer, long nowNanos) throws IOException {
		return switch (kind) {
			case ASK, ASK_COLD -> readAsk(sender, kind, buffer, nowNanos);
			case ANSWER -> new PermitMessage.Answer(sender, buffer.getInt(),
					new PermitDecision(buffer.get() == 1, readNanos(buffer), readNanos(buffer)));
			case LIMITS -> readLimits(sender, buffer, nowNanos);
			case QUERY -> new PermitMessage.Query(sender);
			default -> throw new IOException("unsupported kind " + kind);
		};
	}

	private static PermitMessage readAsk(String sender, byte kind, ByteBuffer buffer, long nowNanos)
			throws IOException {
		int number = buffer.getInt();
		long server = buffer.getLong();
		int slice = buffer.get();
		if (slice < 0 || slice >= PermitIssuer.SLICES) {
			throw new IOException("unsupported slice " + slice);
		}
		LimitObservation limit = readLimit(buffer, nowNanos);
		long maxWaitNanos = readNanos(buffer);
		return new PermitMessage.Ask(sender, number, server, slice, limit, maxWaitNanos,
				(kind == ASK_COLD) ? Optional.of(readCold(buffer)) : Optional.empty());
	}

	private static ColdNotice readCold(ByteBuffer buffer) throws IOException {
		double perSecond = buffer.getDouble();
		if (!(perSecond > 0)) {
			throw new IOException("unsupported rate of a cold server " + perSecond);
		}
		return new ColdNotice(perSecond, Math.min(MAX_COLD_NANOS, readNanos(buffer)));
	}

	private static PermitMessage readLimits(String sender, ByteBuffer buffer, long nowNanos) throws IOException {
		Map<Long, LimitObservation> limits = new HashMap<>();
		while (buffer.hasRemaining()) {
			limits.merge(buffer.getLong(), readLimit(buffer, nowNanos), LimitObservation::merge);
		}
		return new PermitMessage.Limits(sender, limits);
	}

	private static LimitObservation readLimit(ByteBuffer buffer, long nowNanos) throws IOException {
		double perSecond = buffer.getDouble();
		if (!(perSecond >= 0)) {
			throw new IOException("unsupported rate " + perSecond);
		}
		return new LimitObservation(perSecond, nowNanos - readNanos(buffer));
	}

	private static long readNanos(ByteBuffer buffer) throws IOException {
		int millis = buffer.getInt();
		if (millis < 0) {
			throw new IOException("negative time " + millis);
		}
		return millis * NANOS_PER_MILLI;
	}

}
