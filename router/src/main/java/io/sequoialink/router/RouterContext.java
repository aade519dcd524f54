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
 * The shared tables, policies and clients of one host's router. Immutable and
 * thread-safe; the lock order of what it holds is: catalogue, server table, policies,
 * claim table, bill journal, explanation. No lock is held during a call to another
 * system.
 *
 * @param catalogue the configuration
 * @param servers the backend servers
 * @param brakes the known brakes
 * @param brakeSink takes brakes that this host sets
 * @param sessions seals and opens session tokens
 * @param freshness decides while the configuration can't be confirmed
 * @param cascadePolicy chooses versions
 * @param rolloutPolicy places work on candidates
 * @param serverPolicy chooses backend servers
 * @param retryPolicy decides on failed attempts
 * @param admissionPolicy admits requests
 * @param crashGuard contains requests that crash servers
 * @param engines calls model engines
 * @param services calls plain services
 * @param ratings rates answers
 * @param ratingExecutor runs calls to the rating service
 * @param claims at-most-once execution
 * @param bills records bills
 * @param explanations the newest explanations
 * @param observer takes figures for metrics
 * @param clock the host's time
 * @param randomSource gives a seeded generator for each decision
 */
public record RouterContext(Catalogue catalogue, ServerTable servers, BrakeTable brakes, Consumer<Brake> brakeSink,
		SessionTokens sessions, FreshnessPolicy freshness, CascadePolicy cascadePolicy, RolloutPolicy rolloutPolicy,
		ServerPolicy serverPolicy, RetryPolicy retryPolicy, AdmissionPolicy admissionPolicy, CrashGuard crashGuard,
		EngineClient engines, ServiceClient services, RatingService ratings, Executor ratingExecutor, ClaimTable claims,
		BillJournal bills, ExplanationStore explanations, RouterObserver observer, Clock clock,
		Supplier<RandomGenerator> randomSource) {

	RandomGenerator random() {
		return this.randomSource.get();
	}

}
