package io.sequoialink.cli.scenarios;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
import io.sequoialink.bench.live.Caller;
import io.sequoialink.bench.live.DeploymentObjects;
import io.sequoialink.bench.live.LiveFleet;
import io.sequoialink.bench.live.PromiseAudit;
import io.sequoialink.model.Json;

/**
 * State that the step classes of one Cucumber scenario share: the fleet, a client per
 * host, the last response and the session of the scenario.
 */
public class World {

	private LiveFleet fleet;

	private PromiseAudit audit;

	private final List<Caller> callers = new ArrayList<>();

	private Caller.Reply last;

	private String sessionToken;

	private String sessionAccount;

	private String sessionClass;

	private final List<String> sessionVersions = new ArrayList<>();

	void start(LiveFleet newFleet) {
		this.fleet = newFleet;
		this.audit = PromiseAudit.of(newFleet);
		newFleet.hosts().forEach((host) -> this.callers.add(new Caller(host.httpPort())));
	}

	void stop() throws Exception {
		for (Caller caller : this.callers) {
			caller.close();
		}
		if (this.fleet != null) {
			this.fleet.close();
		}
	}

	LiveFleet fleet() {
		return this.fleet;
	}

	PromiseAudit audit() {
		return this.audit;
	}

	int hosts() {
		return this.callers.size();
	}

	Caller caller(int index) {
		return this.callers.get(index % this.callers.size());
	}

	Caller.Reply chat(int host, String account, String requestClass, String prompt, int tokens, boolean streamed,
			Map<String, String> headers) {
		Caller.Reply reply = caller(host).chat(DeploymentObjects.key(account), requestClass, prompt, tokens, streamed,
				headers);
		received(account, "", reply);
		return reply;
	}

	synchronized void received(String account, String idempotencyKey, Caller.Reply reply) {
		this.last = reply;
		this.audit.received(account, idempotencyKey, reply);
	}

	Caller.Reply last() {
		return this.last;
	}

	void beginSession(String account, String requestClass, int host) {
		Caller.Reply reply = chat(host, account, requestClass, "begin", 16, false,
				Map.of("x-sequoialink-session", "new"));
		this.sessionAccount = account;
		this.sessionClass = requestClass;
		this.sessionToken = reply.header("x-sequoialink-session").orElseThrow();
		this.sessionVersions.add(reply.header("x-sequoialink-version").orElseThrow());
	}

	void continueSession(int host, String account) {
		Caller.Reply reply = chat(host, account, this.sessionClass, "go on", 16, host % 2 == 1,
				Map.of("x-sequoialink-session", this.sessionToken));
		reply.header("x-sequoialink-version").ifPresent(this.sessionVersions::add);
	}

	String sessionAccount() {
		return this.sessionAccount;
	}

	String sessionVersion() {
		return this.sessionVersions.get(0);
	}

	Set<String> sessionVersions() {
		return new TreeSet<>(this.sessionVersions);
	}

	JsonNode json(Caller.Reply reply) {
		try {
			return Json.mapper().readTree(reply.text());
		}
		catch (IOException ex) {
			throw new IllegalStateException(reply.text(), ex);
		}
	}

}
