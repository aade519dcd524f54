package io.sequoialink.gateway.permit;

import java.io.IOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import io.sequoialink.decision.limits.SlotAccount;

/**
 * Encodes messages about slots as datagrams. Stateless.
 *
 * <pre>
 * version(1) kind(1) sender length(1) sender, then by kind
 *   report: server(8) sequence(8) last decided(8) held(4) turned away(8) number(8) slots(4) rejections(8)
 *   answer: number(8) given(1)
 * </pre>
 */
final class SlotFormat {

	/** First byte of each datagram. */
	static final byte VERSION = 4;

	private static final byte REPORT = 1;

	private static final byte ANSWER = 2;

	private static final int MAX_BYTES = 3 + 255 + 56;

	private SlotFormat() {
	}

	static byte[] write(SlotMessage message) {
		ByteBuffer buffer = ByteBuffer.allocate(MAX_BYTES);
		byte[] sender = message.sender().getBytes(StandardCharsets.UTF_8);
		buffer.put(VERSION).put((message instanceof SlotMessage.Report) ? REPORT : ANSWER);
		buffer.put((byte) sender.length).put(sender);
		if (message instanceof SlotMessage.Report sent) {
			SlotAccount.Report report = sent.report();
			buffer.putLong(sent.server()).putLong(report.sequence()).putLong(report.lastDecided());
			buffer.putInt(report.held()).putLong(report.turnedAway()).putLong(sent.number());
			buffer.putInt(sent.said().slots()).putDouble(sent.said().rejections());
		}
		else if (message instanceof SlotMessage.Answer answer) {
			buffer.putLong(answer.number()).put((byte) (answer.given() ? 1 : 0));
		}
		byte[] datagram = new byte[buffer.position()];
		buffer.flip().get(datagram);
		return datagram;
	}

	/**
	 * Decodes a datagram.
	 * @param datagram the payload
	 * @return the message
	 * @throws IOException if the datagram is no valid message
	 */
	static SlotMessage read(byte[] datagram) throws IOException {
		ByteBuffer buffer = ByteBuffer.wrap(datagram);
		try {
			if (buffer.get() != VERSION) {
				throw new IOException("unsupported version");
			}
			byte kind = buffer.get();
			byte[] name = new byte[Byte.toUnsignedInt(buffer.get())];
			buffer.get(name);
			String sender = new String(name, StandardCharsets.UTF_8);
			return switch (kind) {
				case REPORT -> readReport(sender, buffer);
				case ANSWER -> new SlotMessage.Answer(sender, buffer.getLong(), buffer.get() == 1);
				default -> throw new IOException("unsupported kind " + kind);
			};
		}
		catch (BufferUnderflowException ex) {
			throw new IOException("truncated", ex);
		}
	}

	private static SlotMessage readReport(String sender, ByteBuffer buffer) throws IOException {
		long server = buffer.getLong();
		long sequence = buffer.getLong();
		long lastDecided = buffer.getLong();
		int held = buffer.getInt();
		long turnedAway = buffer.getLong();
		long number = buffer.getLong();
		int slots = buffer.getInt();
		double rejections = buffer.getDouble();
		if (held < 0 || turnedAway < 0 || slots < 0 || !(rejections >= 0)) {
			throw new IOException("negative number");
		}
		return new SlotMessage.Report(sender, server, new SlotAccount.Report(sequence, lastDecided, held, turnedAway),
				number, new SlotAccount.Server(slots, rejections));
	}

}
