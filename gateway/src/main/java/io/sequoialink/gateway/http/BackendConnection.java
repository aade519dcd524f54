package io.sequoialink.gateway.http;

import java.io.IOException;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * A connection to a backend server. Confined to the event loop. An answer counts only if
 * it names the request that was sent; an answer to an earlier request is dropped, and the
 * connection is not used again after anything unexpected.
 */
final class BackendConnection extends ChannelInboundHandlerAdapter {

	private static final int INFORMATIONAL = 1;

	private final ServerConnections owner;

	private final WireDialect dialect;

	private final UselessBytes useless = new UselessBytes(this::close);

	private Channel channel;

	private BackendSend current;

	private ChannelFuture writing;

	private boolean dropping;

	private boolean headSeen;

	private boolean reusable = true;

	private boolean reset;

	private long idleSince;

	private long maxIdleNanos = ServerConnections.MAX_IDLE_NANOS;

	private boolean headRequest;

	BackendConnection(ServerConnections owner) {
		this.owner = owner;
		this.dialect = owner.dialect();
	}

	ChannelInitializer<Channel> initializer() {
		return new ChannelInitializer<>() {
			@Override
			protected void initChannel(Channel opened) {
				opened.pipeline()
					.addLast(new HttpRequestEncoder(), BackendConnection.this.useless, new Decoder(),
							BackendConnection.this);
			}
		};
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		this.channel = context.channel();
	}

	/**
	 * Returns whether a request may be sent on this idle connection.
	 * @param now monotonic time in nanoseconds
	 * @return whether it is open and has not rested too long
	 */
	boolean usable(long now) {
		return this.channel.isActive() && now - this.idleSince < this.maxIdleNanos;
	}

	void send(BackendSend send) {
		if (send.over()) {
			close();
			return;
		}
		if (!send.listener().mayWrite()) {
			close();
			send.fail(SendLoss.WITHHELD);
			return;
		}
		this.current = send;
		this.useless.begin();
		this.headSeen = false;
		this.dropping = false;
		var request = send.handOver(this.channel);
		this.headRequest = HttpMethod.HEAD.equals(request.method());
		this.channel.config().setAutoRead(true);
		this.writing = this.channel.writeAndFlush(request);
		send.listener().written();
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		try {
			read((HttpObject) message);
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void read(HttpObject message) {
		if (this.current == null || this.current.over() || message.decoderResult().isFailure()) {
			close();
			return;
		}
		if (message instanceof HttpResponse response) {
			head(response);
		}
		if (message instanceof HttpContent content && this.current != null) {
			content(content);
		}
	}

	private void head(HttpResponse response) {
		if (response.status().code() / 100 == INFORMATIONAL) {
			this.dropping = true;
			return;
		}
		AnswerFacts facts = this.dialect.answer(response.headers());
		boolean foreign = facts.requestId().isPresent() && !facts.requestId().get().equals(this.current.requestId());
		this.dropping = foreign;
		if (foreign) {
			this.reusable = false;
			this.current.listener().overheard(response.status().code(), facts);
			return;
		}
		this.headSeen = true;
		readKeepAlive(response);
		this.current.listener().head(response.status().code(), response.headers(), facts);
	}

	private void readKeepAlive(HttpResponse response) {
		boolean framed = HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response);
		if (!framed || !HttpUtil.isKeepAlive(response)) {
			this.reusable = false;
		}
		KeepAliveTimeout.parse(response.headers().get("keep-alive"))
			.ifPresent((nanos) -> this.maxIdleNanos = Math.min(this.maxIdleNanos, nanos));
	}

	private void content(HttpContent content) {
		boolean last = content instanceof LastHttpContent;
		if (this.dropping) {
			this.dropping = !last;
			return;
		}
		if (!this.headSeen) {
			close();
			return;
		}
		ByteBuf data = content.content();
		if (data.isReadable()) {
			this.useless.begin();
			this.current.listener().data(data.retain());
		}
		if (last && this.current != null && !this.current.over()) {
			complete();
		}
	}

	private void complete() {
		if (this.reset) {
			close();
			return;
		}
		BackendSend done = this.current;
		this.current = null;
		boolean keep = this.reusable && this.writing.isDone() && this.channel.isActive();
		if (keep) {
			this.idleSince = System.nanoTime();
			this.owner.release(this);
		}
		else {
			this.channel.close();
		}
		done.end();
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		this.reset = true;
		end((cause instanceof IOException) ? SendLoss.DISCONNECTED : SendLoss.BROKEN);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.owner.ended(this);
		fail(SendLoss.DISCONNECTED);
	}

	void close() {
		end(SendLoss.BROKEN);
	}

	private void end(SendLoss loss) {
		this.channel.close();
		fail(loss);
	}

	private void fail(SendLoss loss) {
		BackendSend lost = this.current;
		this.current = null;
		if (lost != null) {
			lost.fail(loss);
		}
	}

	/**
	 * Decoder that knows whether an answer has a body at all.
	 */
	private final class Decoder extends HttpResponseDecoder {

		@Override
		protected boolean isContentAlwaysEmpty(HttpMessage message) {
			return (BackendConnection.this.headRequest
					&& !(message instanceof HttpResponse response && response.status().code() / 100 == INFORMATIONAL))
					|| super.isContentAlwaysEmpty(message);
		}

	}

}
