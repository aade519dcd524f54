package io.sequoialink.gateway.http;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

import com.dynatrace.hash4j.hashing.Hashing;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import io.sequoialink.gateway.fleet.ClientAccount;
import io.sequoialink.gateway.place.ExpectedWork;
import io.sequoialink.gateway.place.LoadBalancingRequest;
import io.sequoialink.gateway.place.PromptSize;
import io.sequoialink.gateway.place.ServerState;
import io.sequoialink.gateway.rollout.VersionGroup;

/**
 * Determines which servers the attempts of one request may use, and builds the requests
 * sent to them. Confined to the event loop.
 */
final class RequestDispatcher {

	private final GatewayContext gateway;

	private final ClientRequest request;

	private final RequestMetadata metadata;

	private final Admission admission;

	private final ModelChoice models;

	private final PromptPrefix prompt;

	private final long stickyKey;

	private final Set<String> tried = new HashSet<>();

	private boolean firstTry;

	private String lastEvent;

	RequestDispatcher(GatewayContext gateway, ClientRequest request, RequestMetadata metadata, Admission admission,
			ModelChoice models) {
		this.gateway = gateway;
		this.request = request;
		this.metadata = metadata;
		this.admission = admission;
		this.models = models;
		this.prompt = PromptPrefix.of(metadata);
		String pinName = metadata.session().or(metadata::id).orElse("");
		this.stickyKey = Hashing.wyhashFinal4().hashStream().putString(pinName).getAsLong();
		this.lastEvent = metadata.lastEvent().orElse(null);
	}

	/**
	 * Returns the criteria by which the load balancing chooses the server of the next
	 * attempt.
	 * @param permitWaitNanos longest wait for a permit of a limited server, in
	 * nanoseconds
	 * @return service, permitted versions and prompt size of the request, and the servers
	 * tried already or known to be full
	 */
	LoadBalancingRequest loadBalancingRequest(long permitWaitNanos) {
		Set<String> full = this.gateway.admission().fullServers(service());
		if (full.isEmpty()) {
			return loadBalancingRequest(this.tried, permitWaitNanos);
		}
		full.addAll(this.tried);
		return loadBalancingRequest(full, permitWaitNanos);
	}

	private LoadBalancingRequest loadBalancingRequest(Set<String> excluded, long permitWaitNanos) {
		VersionGroup versions = versions();
		double servers = withoutSession() ? this.gateway.rollouts().serverShareWithoutSession(service())
				: this.gateway.rollouts().targetShare(service());
		PromptSize work = this.prompt.work(this.models.modelName().orElse(""));
		return new LoadBalancingRequest(service(), versions, this.gateway.rollouts().targetVersion(service()), servers,
				work, excluded, permitWaitNanos, expectedWork(work));
	}

	// Without a known duration the load balancing assumes one that is the same for all
	// servers.
	private ExpectedWork expectedWork(PromptSize work) {
		String route = this.admission.route().name();
		return work.inference() ? new ExpectedWork(0, expectedOutputTokens(route))
				: new ExpectedWork(this.gateway.latencyBaseline().typicalMillis(route).orElse(0), 0);
	}

	// The client's estimate, or else what the route's responses have on average; at most
	// the stated maximum.
	private double expectedOutputTokens(String route) {
		double maximum = (this.metadata.outputTokens() > 0) ? this.metadata.outputTokens() : Double.MAX_VALUE;
		OptionalDouble usual = this.gateway.servers().memoryUse().outputTokens(route);
		double expected = this.metadata.lengthHint().isPresent() ? this.metadata.lengthHint().getAsInt()
				: usual.orElse(this.metadata.outputTokens());
		return Math.min(maximum, Math.max(0, expected));
	}

	private VersionGroup versions() {
		return withoutSession() ? this.gateway.rollouts().chooseVersionsWithoutSession(service(), this.stickyKey)
				: this.gateway.rollouts()
					.chooseVersions(service(), this.stickyKey, this.metadata.session().isPresent());
	}

	// Only such a request may be answered by either version, and its answer is short.
	private boolean withoutSession() {
		return this.metadata.session().isEmpty() && !this.admission.route().streaming();
	}

	/**
	 * Returns criteria for a request that the limited servers of the new version do not
	 * take.
	 * @param placement criteria of a choice that found no server
	 * @return criteria for the old versions; empty for other requests, and for those of a
	 * session, which stay on their version
	 */
	Optional<LoadBalancingRequest> withOldVersions(LoadBalancingRequest placement) {
		boolean mayChange = placement.versionGroup() == VersionGroup.PREFER_TARGET && this.metadata.session().isEmpty();
		return mayChange ? Optional.of(new LoadBalancingRequest(placement.service(), VersionGroup.PREFER_OLD,
				placement.target(), placement.serverShare(), placement.prompt(), placement.tried(),
				placement.permitWaitNanos(), placement.expected())) : Optional.empty();
	}

	private String service() {
		return this.admission.service();
	}

	/**
	 * Returns whether a server that has not been tried yet and needs no permit is
	 * available.
	 * @return whether the next attempt would go to such a server
	 */
	boolean hasUntriedServer() {
		return this.gateway.loadBalancer()
			.choose(loadBalancingRequest(this.tried, LoadBalancingRequest.NO_LIMITED_SERVER))
			.filter((placed) -> !this.tried.contains(placed.server().entry().id()))
			.isPresent();
	}

	/**
	 * Returns whether a server is available for which no permit is needed.
	 * @return whether an attempt could be sent at once
	 */
	boolean hasServerWithoutLimit() {
		return this.gateway.loadBalancer()
			.choose(loadBalancingRequest(Set.of(), LoadBalancingRequest.NO_LIMITED_SERVER))
			.isPresent();
	}

	/**
	 * Makes a server available again to which an attempt was not sent.
	 * @param server the server
	 */
	void withheld(ServerState server) {
		if (this.firstTry) {
			this.tried.remove(server.entry().id());
		}
	}

	/**
	 * Makes servers that were tried available again, as for a request to another model.
	 */
	void clearTried() {
		this.tried.clear();
	}

	/**
	 * Builds the request for a server and marks the server as tried.
	 * @param server the server
	 * @param remainingMillis time until the deadline, in milliseconds
	 * @return the request; ownership passes to the caller
	 */
	FullHttpRequest buildRequest(ServerState server, long remainingMillis) {
		this.firstTry = this.tried.add(server.entry().id());
		if (this.metadata.session().isPresent()) {
			this.gateway.rollouts().onRequestSent(service(), server.entry().version(), this.stickyKey);
		}
		HttpHeaders headers = HopByHopHeaders.strip(this.request.headers());
		this.gateway.headerMapping()
			.writeForwarding(headers,
					new ForwardingMetadata(server.entry().id(), remainingMillis,
							this.admission.account().map(ClientAccount::name), this.models.hostChoice(),
							this.models.priority(), Optional.ofNullable(this.lastEvent)));
		ByteBuf body = this.request.body().retainedDuplicate();
		if (body.isReadable() || headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
		}
		return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, this.request.method(), this.request.target(), body,
				headers, new DefaultHttpHeaders());
	}

	/**
	 * Records the last event that was forwarded; a further attempt resumes the stream
	 * after it.
	 * @param eventId id of the event
	 */
	void eventForwarded(String eventId) {
		this.lastEvent = eventId;
	}

	/**
	 * Extends the request's session: its lifetime counts from the end of its last
	 * request, not from the beginning.
	 * @param server the server of the current attempt
	 */
	void refreshSession(ServerState server) {
		if (this.metadata.session().isPresent()) {
			this.gateway.rollouts().onRequestActive(server.entry().version(), this.stickyKey);
		}
	}

}
