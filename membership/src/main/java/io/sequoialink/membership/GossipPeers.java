package io.sequoialink.membership;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.sequoialink.membership.wire.PeerProtocol.Body;
import io.sequoialink.model.Brake;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * {@link Peers} over TCP. All state is confined to one event loop; the views that callers
 * read are immutable and replaced whole, so no lock is held anywhere. Thread-safe.
 *
 * <pre>
 * GossipPeers peers = GossipPeers.builder().self(member).keys(keys).seeds(seeds).start();
 * peers.subscribe("evidence", (message) -&gt; table.merge(message.payload()));
 * </pre>
 */
public final class GossipPeers implements Peers {

	private static final int MAX_QUEUED_CALLS = 8192;

	private static final long CLOSE_MILLIS = 1000;

	private static final long EVENT_INTERVAL_MILLIS = 10_000;

	private static final Logger LOG = LoggerFactory.getLogger(GossipPeers.class);

	private final TrafficCounters counters = new TrafficCounters();

	private final Map<String, Consumer<PeerMessage>> consumers = new ConcurrentHashMap<>();

	private final AtomicInteger queuedCalls = new AtomicInteger();

	private final LongSupplier nanos;

	private final EventLoopGroup ownedLoops;

	private final EventLoop loop;

	private final PeerAcceptor acceptor;

	private final PeerConnections connections;

	private final GossipCore core;

	private final Map<FrameRefusal, Long> lastRefusalEvents = new ConcurrentHashMap<>();

	private volatile Member self;

	private volatile List<Member> members;

	private volatile List<Brake> brakes = List.of();

	private volatile boolean open;

	private GossipPeers(Builder builder) throws IOException {
		this.nanos = builder.nanos;
		this.ownedLoops = (builder.loops != null) ? null
				: new NioEventLoopGroup(1, new DefaultThreadFactory("peers", true));
		this.loop = ((builder.loops != null) ? builder.loops : this.ownedLoops).next();
		FrameCodec codec = new FrameCodec(builder.keys);
		this.acceptor = new PeerAcceptor(this.loop, codec, new Inbound());
		this.connections = new PeerConnections(this.loop, codec, this.counters);
		this.self = bind(builder.self);
		this.members = List.of(this.self);
		this.core = new GossipCore(this.self, builder.settings, builder.seeds, builder.random, new Events(),
				nowMillis());
		LOG.info(MembershipEvents.STARTED, this.self.host(), this.self.incarnation(), this.self.ip(), this.self.port(),
				this.self.zone());
		long interval = builder.settings.probeInterval().toMillis();
		this.loop.scheduleWithFixedDelay(this::tick, builder.random.nextLong(interval), interval,
				TimeUnit.MILLISECONDS);
		this.open = true;
	}

	/**
	 * Starts the settings of a host's peer port.
	 * @return an empty builder
	 */
	public static Builder builder() {
		return new Builder();
	}

	@Override
	public Member self() {
		return this.self;
	}

	@Override
	public List<Member> members() {
		return this.members;
	}

	@Override
	public void spread(Brake brake) {
		Objects.requireNonNull(brake, "brake");
		execute(() -> this.connections.send(this.core.spread(brake), nowMillis()));
	}

	@Override
	public List<Brake> brakes() {
		return this.brakes;
	}

	@Override
	public void send(String topic, byte[] payload, List<Member> receivers) {
		Objects.requireNonNull(topic, "topic");
		if (payload.length > MAX_PAYLOAD_BYTES) {
			throw new IllegalArgumentException("payload on topic " + topic + " has " + payload.length
					+ " bytes: use at most " + MAX_PAYLOAD_BYTES);
		}
		ByteString data = ByteString.copyFrom(payload);
		execute(() -> this.connections.send(receivers.stream()
			.filter((receiver) -> !receiver.host().equals(this.self.host()))
			.map((receiver) -> this.core.payload(topic, data, receiver))
			.toList(), nowMillis()));
	}

	@Override
	public void subscribe(String topic, Consumer<PeerMessage> consumer) {
		this.consumers.put(topic, consumer);
	}

	@Override
	public void announceRevision(long revision) {
		execute(() -> this.core.announceRevision(revision));
	}

	/**
	 * Returns what was sent and received so far.
	 * @return the counts
	 */
	public PeerTraffic traffic() {
		return this.counters.snapshot();
	}

	/**
	 * Announces that this host is leaving and stops; waits for up to a second. Must not
	 * be called on a network thread.
	 */
	@Override
	public void close() {
		if (!this.open) {
			return;
		}
		this.open = false;
		Future<?> left = this.loop.submit(() -> this.connections.send(this.core.leave(nowMillis()), nowMillis()));
		await(left);
		await(this.loop.schedule(this::stop, 1, TimeUnit.MILLISECONDS));
		if (this.ownedLoops != null) {
			this.ownedLoops.shutdownGracefully(0, CLOSE_MILLIS, TimeUnit.MILLISECONDS);
		}
		LOG.info(MembershipEvents.LEFT, this.self.host());
	}

	/** Stops at once and tells nobody, as a crash would. For tests of failures. */
	void crash() {
		this.open = false;
		await(this.loop.submit(this::stop));
		if (this.ownedLoops != null) {
			this.ownedLoops.shutdownGracefully(0, CLOSE_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	private void stop() {
		this.acceptor.close();
		this.connections.close();
	}

	private Member bind(Member wanted) throws IOException {
		try {
			InetSocketAddress bound = (InetSocketAddress) this.acceptor.bind(wanted.ip(), wanted.port());
			return new Member(wanted.host(), wanted.incarnation(), wanted.ip(), bound.getPort(), wanted.zone(),
					Member.State.ALIVE, wanted.viewRevision());
		}
		catch (IOException ex) {
			if (this.ownedLoops != null) {
				this.ownedLoops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
			}
			throw ex;
		}
	}

	private void tick() {
		if (this.open) {
			this.connections.send(this.core.tick(nowMillis()), nowMillis());
			this.connections.closeIdle(nowMillis());
			publish();
		}
	}

	private void execute(Runnable call) {
		if (!this.open || this.queuedCalls.get() >= MAX_QUEUED_CALLS) {
			this.counters.dropped();
			return;
		}
		this.queuedCalls.incrementAndGet();
		try {
			this.loop.execute(() -> run(call));
		}
		catch (RejectedExecutionException ex) {
			this.counters.dropped();
		}
	}

	private void run(Runnable call) {
		this.queuedCalls.decrementAndGet();
		call.run();
		publish();
	}

	private void publish() {
		this.members = this.core.members();
		this.self = this.core.self();
		this.brakes = this.core.brakes();
	}

	private void deliver(Body body) throws RefusedFrameException {
		String topic = body.getPayload().getTopic();
		Consumer<PeerMessage> consumer = this.consumers.get(topic);
		if (consumer == null) {
			return;
		}
		Member sender = this.core.sender(body);
		try {
			consumer.accept(new PeerMessage(sender, body.getPayload().getData().toByteArray()));
		}
		catch (RuntimeException ex) {
			LOG.warn(MembershipEvents.CONSUMER_FAILED, topic, ex);
		}
	}

	private long nowMillis() {
		return TimeUnit.NANOSECONDS.toMillis(this.nanos.getAsLong());
	}

	private static void await(Future<?> future) {
		try {
			future.get(CLOSE_MILLIS, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (ExecutionException | TimeoutException ex) {
			LOG.debug("the peer port did not stop in time", ex);
		}
	}

	/** Builds {@link GossipPeers}. Not thread-safe. */
	public static final class Builder {

		private Member self;

		private PeerKeys keys;

		private List<InetSocketAddress> seeds = List.of();

		private GossipSettings settings = GossipSettings.DEFAULT;

		private RandomGenerator random = RandomGenerator.getDefault();

		private LongSupplier nanos = System::nanoTime;

		private EventLoopGroup loops;

		private Builder() {
		}

		/**
		 * Sets this host: its id, incarnation, address, port (0 for any) and zone.
		 * @param newSelf the host
		 * @return this builder
		 */
		public Builder self(Member newSelf) {
			this.self = newSelf;
			return this;
		}

		/**
		 * Sets the keys that authenticate messages.
		 * @param newKeys the keys
		 * @return this builder
		 */
		public Builder keys(PeerKeys newKeys) {
			this.keys = newKeys;
			return this;
		}

		/**
		 * Sets addresses at which members may be met first.
		 * @param newSeeds numeric addresses with ports; this host's own may be among them
		 * @return this builder
		 */
		public Builder seeds(List<InetSocketAddress> newSeeds) {
			this.seeds = List.copyOf(newSeeds);
			return this;
		}

		/**
		 * Sets intervals and bounds.
		 * @param newSettings the settings
		 * @return this builder
		 */
		public Builder settings(GossipSettings newSettings) {
			this.settings = newSettings;
			return this;
		}

		/**
		 * Sets the source of random choices.
		 * @param newRandom used on the event loop only
		 * @return this builder
		 */
		public Builder random(RandomGenerator newRandom) {
			this.random = newRandom;
			return this;
		}

		/**
		 * Sets the monotonic clock.
		 * @param newNanos nanoseconds that never go back
		 * @return this builder
		 */
		public Builder clock(LongSupplier newNanos) {
			this.nanos = newNanos;
			return this;
		}

		/**
		 * Lets many hosts of one process share event loops. They are not shut down by
		 * {@link GossipPeers#close()}.
		 * @param newLoops the event loops
		 * @return this builder
		 */
		public Builder eventLoops(EventLoopGroup newLoops) {
			this.loops = newLoops;
			return this;
		}

		/**
		 * Opens the peer port and begins to look for members. Blocks until it is open.
		 * @return the running peers
		 * @throws IOException if the port can't be opened
		 */
		public GossipPeers start() throws IOException {
			Objects.requireNonNull(this.self, "self");
			Objects.requireNonNull(this.keys, "keys");
			return new GossipPeers(this);
		}

	}

	/** Takes messages in, on the event loop. */
	private final class Inbound implements PeerAcceptor.Receiver {

		@Override
		public void received(Body body, int bytes) throws RefusedFrameException {
			if (!GossipPeers.this.open) {
				return;
			}
			List<Outgoing> answers = GossipPeers.this.core.receive(body, nowMillis());
			GossipPeers.this.counters.received(bytes);
			GossipPeers.this.connections.send(answers, nowMillis());
			publish();
			if (body.hasPayload()) {
				deliver(body);
			}
		}

		@Override
		public void refused(SocketAddress from, RefusedFrameException refusal) {
			long count = GossipPeers.this.counters.refused(refusal.refusal());
			long now = nowMillis();
			Long last = GossipPeers.this.lastRefusalEvents.get(refusal.refusal());
			if (last == null || now - last >= EVENT_INTERVAL_MILLIS) {
				GossipPeers.this.lastRefusalEvents.put(refusal.refusal(), now);
				LOG.warn(MembershipEvents.FRAME_REFUSED, from, refusal.refusal(), refusal.getMessage(), count);
			}
		}

	}

	/** Writes numbered events. */
	private static final class Events implements GossipListener {

		private boolean isolated;

		private boolean replaced;

		@Override
		public void memberChanged(Member member) {
			LOG.info(MembershipEvents.MEMBER_CHANGED, member.host(), member.incarnation(), member.zone(),
					member.state());
		}

		@Override
		public void brakeLearnt(Brake brake) {
			LOG.warn(MembershipEvents.BRAKE_LEARNT, brake.scope(), brake.target(), brake.reason(), brake.origin(),
					brake.revision());
		}

		@Override
		public void paused(long millis) {
			LOG.warn(MembershipEvents.PAUSED, millis);
		}

		@Override
		public void isolated(boolean now, long silentMillis) {
			if (now && !this.isolated) {
				LOG.warn(MembershipEvents.ISOLATED, silentMillis);
			}
			this.isolated = now;
		}

		@Override
		public void replaced(Member other) {
			if (!this.replaced) {
				LOG.warn(MembershipEvents.REPLACED, other.host(), other.incarnation(), other.ip(), other.port());
			}
			this.replaced = true;
		}

	}

}
