package io.sequoialink.gateway.http;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.sequoialink.gateway.codec.RequestDecoder;

/**
 * Decodes requests only while their receiver takes them; what it does not take stays
 * undecoded, and reading from the connection stops. Many requests in one read therefore
 * cost no more than their bytes. Confined to the event loop.
 */
final class GatedRequestDecoder extends RequestDecoder {

	private static final int MAX_CHUNK_BYTES = 65536;

	/**
	 * Input that may wait behind a request in progress while the connection is still
	 * read, in bytes: the end of a connection that is not read goes unnoticed.
	 */
	private static final int MAX_WAITING_BYTES = 4096;

	private final Receiver receiver;

	private ChannelHandlerContext context;

	private boolean decoding;

	GatedRequestDecoder(int headerBytes, Receiver receiver, ConnectionShare share) {
		super(new HttpDecoderConfig().setMaxInitialLineLength(headerBytes)
			.setMaxHeaderSize(headerBytes)
			.setMaxChunkSize(MAX_CHUNK_BYTES)
			.setHeadersFactory(new CountedHeaders.Factory(share))
			.setTrailersFactory(new CountedHeaders.Factory(share)));
		this.receiver = receiver;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext added) throws Exception {
		super.handlerAdded(added);
		this.context = added;
	}

	@Override
	public void channelRead(ChannelHandlerContext reading, Object message) throws Exception {
		this.decoding = true;
		try {
			super.channelRead(reading, message);
		}
		finally {
			this.decoding = false;
			updateReading();
		}
	}

	@Override
	protected void decode(ChannelHandlerContext reading, ByteBuf buffer, List<Object> out) throws Exception {
		if (this.receiver.discardsInput()) {
			buffer.skipBytes(buffer.readableBytes());
			return;
		}
		if (this.receiver.takesInput()) {
			super.decode(reading, buffer, out);
		}
	}

	// The superclass reads once more if nothing was decoded and reading has stopped.
	@Override
	public void channelReadComplete(ChannelHandlerContext reading) throws Exception {
		if (reading.channel().config().isAutoRead()) {
			super.channelReadComplete(reading);
			return;
		}
		discardSomeReadBytes();
		reading.fireChannelReadComplete();
	}

	/**
	 * Decodes what has been waiting, because the receiver may take input again.
	 * @throws Exception if the input cannot be decoded
	 */
	void resume() throws Exception {
		if (!this.decoding && this.context != null && !this.context.isRemoved()) {
			channelRead(this.context, Unpooled.EMPTY_BUFFER);
		}
	}

	/**
	 * Returns whether there is input behind what has been decoded.
	 * @return whether more than the current part has been received
	 */
	boolean inputFollows() {
		return actualReadableBytes() > 0;
	}

	private void updateReading() {
		boolean waits = actualReadableBytes() > 0;
		this.receiver.inputWaits(waits ? internalBuffer().capacity() : 0);
		boolean reads = this.receiver.discardsInput() || this.receiver.takesInput()
				|| (this.receiver.readsAhead() && actualReadableBytes() < MAX_WAITING_BYTES);
		this.context.channel().config().setAutoRead(reads);
	}

	/**
	 * Takes the decoded parts of requests. Confined to the event loop.
	 */
	interface Receiver {

		/**
		 * Returns whether a further part of a request may be decoded.
		 * @return whether the receiver takes it
		 */
		boolean takesInput();

		/**
		 * Returns whether input is of no use any more.
		 * @return whether all further input is discarded
		 */
		boolean discardsInput();

		/**
		 * Returns whether the connection may be read although no input is taken.
		 * @return whether a little input may wait
		 */
		boolean readsAhead();

		/**
		 * Is told of the input that has not been decoded.
		 * @param count size of its buffer in bytes
		 */
		void inputWaits(int count);

	}

	/**
	 * Headers that count their fields as they are added. Confined to the event loop.
	 */
	private static final class CountedHeaders extends DefaultHttpHeaders {

		private final ConnectionShare share;

		private CountedHeaders(ConnectionShare share) {
			this.share = share;
		}

		@Override
		public HttpHeaders add(CharSequence name, Object value) {
			this.share.addField(name.length() + ((value instanceof CharSequence text) ? text.length() : 0));
			return super.add(name, value);
		}

		/**
		 * Creates headers for one connection.
		 *
		 * @param share share that holds them
		 */
		private record Factory(ConnectionShare share) implements HttpHeadersFactory {

			@Override
			public HttpHeaders newHeaders() {
				return new CountedHeaders(this.share);
			}

			@Override
			public HttpHeaders newEmptyHeaders() {
				return new CountedHeaders(this.share);
			}

		}

	}

}
