package io.sequoialink.gateway.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Set;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.sequoialink.gateway.codec.MalformedMessageException;
import io.sequoialink.gateway.codec.RequestCutException;
import io.sequoialink.gateway.codec.ResponseDecoder;
import io.sequoialink.gateway.path.TunnelLostException;

/**
 * A connection to a backend server. Confined to the event loop. A response is accepted
 * only if it carries the id of the request that was sent, and no request is sent twice on
 * one connection. A response to an earlier request is discarded, and after any unexpected
 * data, if only a byte behind a complete response, the connection is not reused.
 */
final class BackendConnection extends ChannelInboundHandlerAdapter {

	private static final int INFORMATIONAL = 1;

	/**
	 * Number of heads that are logged while one request is in progress; a server may send
	 * them without end.
	 */
	private static final int MAX_LOGGED_HEADS = 4;

	/**
	 * Number of requests after which a connection is closed, so that it can remember all
	 * of them.
	 */
	private static final int MAX_REQUESTS = 64;

	private final ServerConnections owner;

	private final HeaderMapping dialect;

	private final UnexpectedByteLimit unexpectedBytes = new UnexpectedByteLimit(this::awaitsResponse,
			this::closeAfterUnexpectedBytes);

	private final Decoder decoder = new Decoder();

	private Channel channel;

	private OutboundRequest request;

	private ChannelFuture writing;

	private boolean discarding;

	private boolean headReceived;

	private boolean reusable = true;

	private boolean direct = true;

	private boolean failed;

	private long idleSince;

	private long maxIdleNanos = ServerConnections.MAX_IDLE_NANOS;

	private boolean headRequest;

	private final Set<String> answeredRequests = new HashSet<>();

	private ConnectionUse use;

	private int unexpectedHeads;

	BackendConnection(ServerConnections owner) {
		this.owner = owner;
		this.dialect = owner.dialect();
	}

	ChannelInitializer<Channel> initializer() {
		return new ChannelInitializer<>() {
			@Override
			protected void initChannel(Channel opened) {
				opened.pipeline()
					.addLast(new HttpRequestEncoder(), BackendConnection.this.unexpectedBytes,
							BackendConnection.this.decoder, BackendConnection.this);
			}
		};
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		this.channel = context.channel();
	}

	/**
	 * Called when the connection is open.
	 * @param isDirect whether it does not go through another host
	 */
	void opened(boolean isDirect) {
		this.direct = isDirect;
	}

	/**
	 * Returns whether the connection does not go through another host.
	 * @return whether it is direct
	 */
	boolean direct() {
		return this.direct;
	}

	/**
	 * Returns whether a request may be sent on this idle connection.
	 * @param now monotonic time in nanoseconds
	 * @return whether it is open and has not been idle for too long
	 */
	boolean usable(long now) {
		return this.channel.isActive() && now - this.idleSince < this.maxIdleNanos;
	}

	/**
	 * Returns whether a response on this connection can be told from one that the server
	 * writes once more, however late: it has not answered the same request before, also
	 * with others in between. A HEAD request has a connection of its own, as its response
	 * is read in another way than any other.
	 * @param outbound the request to send
	 * @return whether the request may be sent here
	 */
	boolean mayCarry(OutboundRequest outbound) {
		return !outbound.head() && !this.answeredRequests.contains(outbound.requestId());
	}

	void send(OutboundRequest outbound) {
		if (outbound.done()) {
			close();
			return;
		}
		if (!outbound.listener().mayWrite()) {
			close();
			outbound.fail(AttemptFailure.NOT_SENT);
			return;
		}
		this.request = outbound;
		this.unexpectedBytes.reset();
		this.headReceived = false;
		this.discarding = false;
		this.unexpectedHeads = 0;
		this.use = new ConnectionUse(localPort(), this.answeredRequests.size() + 1, this.direct);
		var request = outbound.handOver(this.channel, this.use);
		this.headRequest = outbound.head();
		this.reusable = this.reusable && !this.headRequest;
		this.channel.config().setAutoRead(true);
		this.writing = this.channel.writeAndFlush(request);
		outbound.listener().written();
	}

	private boolean awaitsResponse() {
		return this.request != null;
	}

	// A head among the bytes has been logged and has closed the connection.
	private void closeAfterUnexpectedBytes() {
		if (this.request == null && this.channel.isActive()) {
			notTaken(UnexpectedHead.UNAWAITED, "bytes");
		}
		close();
	}

	private int localPort() {
		return (this.channel.localAddress() instanceof InetSocketAddress address) ? address.getPort() : 0;
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
		if (this.request == null && message instanceof HttpResponse response && this.channel.isActive()) {
			notTaken(UnexpectedHead.UNAWAITED, response);
		}
		if (this.request == null || this.request.done()) {
			close();
			return;
		}
		if (message.decoderResult().isFailure()) {
			notTaken(UnexpectedHead.UNREADABLE, unreadable(message.decoderResult().cause()));
			close();
			return;
		}
		if (message instanceof HttpResponse response) {
			head(response);
		}
		if (message instanceof HttpContent content && this.request != null) {
			content(content);
		}
	}

	// The message of any other cause may quote the server's bytes.
	private static String unreadable(Throwable cause) {
		return (cause instanceof MalformedMessageException) ? "bytes (" + cause.getMessage() + ")" : "bytes";
	}

	private void head(HttpResponse response) {
		if (!this.answeredRequests.isEmpty() && ResponseDecoder.joined(response)) {
			notTaken(UnexpectedHead.JOINED, response);
			close();
			return;
		}
		if (response.status().code() / 100 == INFORMATIONAL) {
			notTaken(UnexpectedHead.INTERIM, response);
			this.discarding = true;
			return;
		}
		ResponseMetadata metadata = this.dialect.readResponse(response.headers());
		String id = metadata.requestId().orElse("");
		boolean ofThisRequest = id.equals(this.request.requestId())
				|| (id.isEmpty() && this.answeredRequests.isEmpty());
		if (!ofThisRequest) {
			headOfOther(response, metadata, id);
			return;
		}
		this.discarding = false;
		this.headReceived = true;
		readKeepAlive(response);
		this.request.listener().head(response.status().code(), response.headers(), metadata);
	}

	// Only a response to a request that was answered here may come once more. With any
	// other id it may be that of this request, so that a later one is none.
	private void headOfOther(HttpResponse response, ResponseMetadata metadata, String id) {
		if (!id.isEmpty()) {
			this.request.listener().lateHead(response.status().code(), metadata);
		}
		boolean earlier = this.answeredRequests.contains(id);
		if (!earlier) {
			notTaken(id.isEmpty() ? UnexpectedHead.UNNAMED : UnexpectedHead.FOREIGN, response);
			close();
			return;
		}
		notTaken(UnexpectedHead.EARLIER, response);
		this.discarding = true;
		this.reusable = false;
	}

	private void notTaken(UnexpectedHead reason, HttpResponse response) {
		this.unexpectedHeads++;
		if (this.unexpectedHeads > MAX_LOGGED_HEADS) {
			this.owner.countNotTaken(reason);
			return;
		}
		notTaken(reason, UnexpectedHeads.describe(response.status().code(),
				this.dialect.readResponse(response.headers()).requestId().orElse("")));
	}

	private void notTaken(UnexpectedHead reason, String received) {
		this.owner.notTaken(reason, this.use, received, (this.request != null) ? this.request.requestId() : "none");
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
		if (this.discarding && ResponseDecoder.hasStatusLine(content.content())) {
			notTaken(UnexpectedHead.JOINED, "body");
			close();
			return;
		}
		if (this.discarding) {
			this.discarding = !last;
			return;
		}
		if (!this.headReceived) {
			close();
			return;
		}
		ByteBuf data = content.content();
		if (data.isReadable()) {
			this.unexpectedBytes.reset();
			this.request.listener().data(data.retain());
		}
		if (last && this.request != null && !this.request.done()) {
			complete();
		}
	}

	private void complete() {
		if (this.failed) {
			close();
			return;
		}
		OutboundRequest finished = this.request;
		this.request = null;
		this.answeredRequests.add(finished.requestId());
		boolean followed = this.decoder.hasMoreBytes();
		if (followed) {
			notTaken(UnexpectedHead.FOLLOWING, "bytes behind the response to " + finished.requestId());
		}
		boolean keep = this.reusable && !followed && this.answeredRequests.size() < MAX_REQUESTS
				&& this.writing.isSuccess() && this.channel.isActive();
		if (keep) {
			this.idleSince = System.nanoTime();
			// a slow client may have paused it; its end and extra bytes must be noticed
			this.channel.config().setAutoRead(true);
			this.owner.release(this);
		}
		else {
			this.channel.close();
		}
		finished.complete();
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		this.failed = true;
		if (cause instanceof TunnelLostException) {
			end(AttemptFailure.HOST_LOST);
			return;
		}
		if (cause instanceof RequestCutException && this.request != null) {
			this.request.explainFailure(cause.getMessage());
		}
		end((cause instanceof IOException) ? AttemptFailure.DISCONNECTED : AttemptFailure.ABORTED);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.owner.ended(this);
		fail(AttemptFailure.DISCONNECTED);
	}

	void close() {
		end(AttemptFailure.ABORTED);
	}

	private void end(AttemptFailure failure) {
		this.channel.close();
		fail(failure);
	}

	private void fail(AttemptFailure failure) {
		OutboundRequest failing = this.request;
		this.request = null;
		if (failing != null) {
			failing.fail(failure);
		}
	}

	/**
	 * Decoder that expects no body in responses to HEAD requests.
	 */
	private final class Decoder extends ResponseDecoder {

		@Override
		protected boolean isContentAlwaysEmpty(HttpMessage message) {
			return (BackendConnection.this.headRequest
					&& !(message instanceof HttpResponse response && response.status().code() / 100 == INFORMATIONAL))
					|| super.isContentAlwaysEmpty(message);
		}

	}

}
