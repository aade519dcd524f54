package io.sequoialink.gateway.http;

import java.util.HashSet;
import java.util.Optional;
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
import io.sequoialink.gateway.place.EngineWork;
import io.sequoialink.gateway.place.PlaceRequest;
import io.sequoialink.gateway.place.ServerState;
import io.sequoialink.gateway.rollout.VersionGroup;

/**
 * Where the sends of one request may go and what they carry. Confined to the event loop.
 */
final class Dispatch {

	private final Gateway gateway;

	private final ClientRequest request;

	private final RequestFacts facts;

	private final Admission admission;

	private final ModelChoice models;

	private final PromptShape prompt;

	private final long pinKey;

	private final Set<String> tried = new HashSet<>();

	private String lastEvent;

	Dispatch(Gateway gateway, ClientRequest request, RequestFacts facts, Admission admission, ModelChoice models) {
		this.gateway = gateway;
		this.request = request;
		this.facts = facts;
		this.admission = admission;
		this.models = models;
		this.prompt = PromptShape.of(facts);
		String pinName = facts.session().or(facts::id).orElse("");
		this.pinKey = Hashing.wyhashFinal4().hashStream().putString(pinName).getAsLong();
		this.lastEvent = facts.lastEvent().orElse(null);
	}

	/**
	 * Tells what the next send needs of a server.
	 * @return the service, versions and work, and the servers that had a send already
	 */
	PlaceRequest wanted() {
		VersionGroup versions = this.gateway.rollouts()
			.choose(service(), this.pinKey, this.facts.session().isPresent());
		EngineWork work = this.prompt.work(this.models.name().orElse(""));
		return new PlaceRequest(service(), versions, this.gateway.rollouts().target(service()),
				this.gateway.rollouts().share(service()), work, this.tried);
	}

	private String service() {
		return this.admission.service();
	}

	/**
	 * Returns whether there is a server that had no send of this request yet.
	 * @return whether the next send would go to such a server
	 */
	boolean anotherServer() {
		return this.gateway.choice()
			.choose(wanted())
			.filter((placed) -> !this.tried.contains(placed.server().entry().id()))
			.isPresent();
	}

	/**
	 * Lets the servers that had a send take another, as for another model.
	 */
	void tryAllAgain() {
		this.tried.clear();
	}

	/**
	 * Makes the message for a server, which counts as tried from now on.
	 * @param server the server
	 * @param remainingMillis time left for the request, in milliseconds
	 * @return the message; ownership passes on
	 */
	FullHttpRequest messageFor(ServerState server, long remainingMillis) {
		this.tried.add(server.entry().id());
		if (this.facts.session().isPresent()) {
			this.gateway.rollouts().sent(service(), server.entry().version(), this.pinKey);
		}
		HttpHeaders headers = ConnectionHeaders.without(this.request.headers());
		this.gateway.dialect()
			.dispatch(headers,
					new DispatchFacts(server.entry().id(), remainingMillis,
							this.admission.account().map(ClientAccount::name), this.models.chosen(), this.models.rank(),
							Optional.ofNullable(this.lastEvent)));
		ByteBuf body = this.request.body().retainedDuplicate();
		if (body.isReadable() || headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
		}
		return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, this.request.method(), this.request.target(), body,
				headers, new DefaultHttpHeaders());
	}

	/**
	 * Notes the last event that was handed on: a stream goes on after it.
	 * @param eventId id of the event
	 */
	void handedOn(String eventId) {
		this.lastEvent = eventId;
	}

	/**
	 * Notes that the request's session goes on: it lasts from the end of its last request
	 * on, not from its beginning.
	 * @param server the server of the present send
	 */
	void sessionGoesOn(ServerState server) {
		if (this.facts.session().isPresent()) {
			this.gateway.rollouts().active(server.entry().version(), this.pinKey);
		}
	}

}
