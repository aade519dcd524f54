package io.sequoialink.router;

import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.sequoialink.catalogue.Catalogue;
import io.sequoialink.decision.AdmissionPolicy;
import io.sequoialink.decision.CascadePolicy;
import io.sequoialink.decision.CrashGuard;
import io.sequoialink.decision.RetryPolicy;
import io.sequoialink.decision.RolloutPolicy;
import io.sequoialink.decision.ServerPolicy;
import io.sequoialink.ledger.BillJournal;
import io.sequoialink.ledger.ClaimTable;
import io.sequoialink.model.Brake;
import io.sequoialink.remote.EngineClient;
import io.sequoialink.remote.RatingService;
import io.sequoialink.remote.ServiceClient;

/**
 * The tables, policies and clients that all requests of one host share. Immutable and
 * thread-safe. Locks of its components are acquired in this order: catalogue, server
 * table, policies, claim table, bill journal, explanation. No lock is held during a call
 * to another system.
 *
 * @param catalogue the configuration
 * @param servers the backend servers and their state
 * @param brakes the stop orders that this host has issued or received
 * @param brakePublisher receives the stop orders that this host issues, to send them to
 * the other hosts
 * @param sessions signs and verifies session tokens
 * @param freshness decides whether requests are dispatched while the configuration can't
 * be confirmed
 * @param cascadePolicy chooses the model versions to try
 * @param rolloutPolicy sends part of the requests to the candidate versions of roll-outs
 * @param serverPolicy chooses backend servers
 * @param retryPolicy decides whether failed attempts are retried
 * @param admissionPolicy admits or rejects requests before they are run
 * @param crashGuard detects requests that crash backend servers and keeps them from
 * reaching further servers
 * @param engines calls model engines
 * @param services calls plain services
 * @param ratings calls the rating service
 * @param ratingExecutor runs the calls to the rating service
 * @param claims records in the log which host may execute a non-idempotent call, so that
 * it is executed at most once
 * @param bills records bills
 * @param explanations the explanations of recent requests
 * @param observer receives the measurements for metrics
 * @param clock the time source of the host
 * @param randomSource supplies a random generator for each decision
 */
public record RouterContext(Catalogue catalogue, ServerTable servers, BrakeTable brakes, Consumer<Brake> brakePublisher,
		SessionTokens sessions, FreshnessPolicy freshness, CascadePolicy cascadePolicy, RolloutPolicy rolloutPolicy,
		ServerPolicy serverPolicy, RetryPolicy retryPolicy, AdmissionPolicy admissionPolicy, CrashGuard crashGuard,
		EngineClient engines, ServiceClient services, RatingService ratings, Executor ratingExecutor, ClaimTable claims,
		BillJournal bills, ExplanationStore explanations, RouterObserver observer, Clock clock,
		Supplier<RandomGenerator> randomSource) {

	RandomGenerator newRandom() {
		return this.randomSource.get();
	}

}
