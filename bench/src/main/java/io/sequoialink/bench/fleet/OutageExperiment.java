package io.sequoialink.bench.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sequoialink.bench.Experiment;
import io.sequoialink.bench.ExperimentOptions;
import io.sequoialink.bench.ExperimentResult;
import io.sequoialink.bench.Target;
import io.sequoialink.model.Json;

/**
 * Compares the rules for an hour without the log, in virtual time: how many requests
 * reach a withdrawn version more than the bound after its withdrawal was accepted, and
 * how many are refused. Stateless and thread-safe.
 */
public final class OutageExperiment implements Experiment {

	private static final int STEP_MILLIS = 100;

	private static final int EXCHANGE_MILLIS = 500;

	private static final int BOUND_MILLIS = 5_000;

	private static final int RUN_MILLIS = 2 * 3_600_000;

	private static final int FAULT_BEGIN_MILLIS = 1_800_000;

	private static final int FAULT_END_MILLIS = 5_400_000;

	private static final int VERSIONS = 3;

	@Override
	public String name() {
		return "outage";
	}

	@Override
	public String question() {
		return "What does each rule for an hour without the log cost in refusals and in work on a withdrawn version?";
	}

	@Override
	public String baselines() {
		return "serving on without a bound";
	}

	@Override
	public List<Target> targets() {
		return List.of(Target.atMost("strict_withdrawn_work", 0), Target.atMost("waiting_withdrawn_work_in_force", 0));
	}

	@Override
	public ExperimentResult run(ExperimentOptions options) {
		ObjectNode node = Json.mapper().createObjectNode();
		List<String> notes = new ArrayList<>();
		for (Rule rule : Rule.values()) {
			long withdrawn = 0;
			long withdrawnInForce = 0;
			long refused = 0;
			long total = 0;
			for (Fault fault : Fault.values()) {
				Run run = new Run(options, rule, fault);
				run.run();
				withdrawn += run.withdrawnWork;
				withdrawnInForce += run.withdrawnWorkInForce;
				refused += run.refused;
				total += run.requests;
				notes.add("%-8s %-14s on the withdrawn version %6d, refused %6d of %d".formatted(name(rule),
						name(fault), run.withdrawnWork, run.refused, run.requests));
			}
			node.put(name(rule) + "_withdrawn_work", withdrawn);
			node.put(name(rule) + "_withdrawn_work_in_force", withdrawnInForce);
			node.put(name(rule) + "_refused_share", (double) refused / total);
		}
		return new ExperimentResult(node, notes, Map.of());
	}

	private static String name(Enum<?> value) {
		return value.name().toLowerCase(Locale.ROOT);
	}

	/** What a host without a fresh confirmation does. */
	private enum Rule {

		/** It starts no new work. */
		STRICT,

		/** It starts work while the log itself refuses its appends. */
		PROVEN,

		/** It serves on; a withdrawal is in force only when every host confirmed it. */
		WAITING,

		/** It serves on. */
		SERVE

	}

	/** What happens for an hour. */
	private enum Fault {

		/** The log refuses everyone. */
		LOG_DOWN,

		/** Half of the hosts can't reach the log, all reach each other. */
		HALF_CUT_OFF,

		/** One region reaches neither the log nor the other region. */
		REGION_CUT,

		/**
		 * The log refuses one region, which can't reach the other, and serves the other.
		 */
		LOG_DIVIDED

	}

	/** One rule under one fault. Confined to one thread. */
	private static final class Run {

		private final Random random;

		private final Rule rule;

		private final Fault fault;

		private final int hosts;

		private final int[] confirmed;

		private final int[] refusedByLog;

		private final boolean[] knows;

		private final int wanted;

		private int accepted = Integer.MAX_VALUE;

		private int inForce = Integer.MAX_VALUE;

		private long requests;

		private long refused;

		private long withdrawnWork;

		private long withdrawnWorkInForce;

		private Run(ExperimentOptions options, Rule rule, Fault fault) {
			this.random = new Random(options.seed());
			this.rule = rule;
			this.fault = fault;
			this.hosts = options.hosts();
			this.confirmed = new int[this.hosts];
			this.refusedByLog = new int[this.hosts];
			this.knows = new boolean[this.hosts];
			this.wanted = FAULT_BEGIN_MILLIS + this.random.nextInt((FAULT_END_MILLIS - FAULT_BEGIN_MILLIS) / 2);
		}

		private void run() {
			for (int now = 0; now < RUN_MILLIS; now += STEP_MILLIS) {
				withdraw(now);
				if (now % EXCHANGE_MILLIS == 0) {
					readLog(now);
					askPeers(now);
				}
				for (int host = 0; host < this.hosts; host++) {
					request(host, now);
				}
			}
		}

		private void withdraw(int now) {
			if (now >= this.wanted && this.accepted == Integer.MAX_VALUE && accepts(0, now)) {
				this.accepted = now;
			}
		}

		private void readLog(int now) {
			for (int host = 0; host < this.hosts; host++) {
				if (accepts(host, now)) {
					this.confirmed[host] = now;
					this.knows[host] = this.accepted <= now;
				}
				else if (answers(host)) {
					this.refusedByLog[host] = now;
				}
			}
		}

		private void askPeers(int now) {
			for (int host = 0; host < this.hosts; host++) {
				int peer = this.random.nextInt(this.hosts);
				if (reaches(host, peer, now)) {
					this.confirmed[host] = Math.max(this.confirmed[host], this.confirmed[peer]);
					this.knows[host] |= this.knows[peer];
				}
			}
			boolean all = true;
			for (boolean known : this.knows) {
				all &= known;
			}
			this.inForce = all ? Math.min(this.inForce, now) : this.inForce;
		}

		private void request(int host, int now) {
			this.requests++;
			if (!mayStart(host, now)) {
				this.refused++;
				return;
			}
			boolean withdrawnVersion = !this.knows[host] && this.random.nextInt(VERSIONS) == 0;
			this.withdrawnWork += (withdrawnVersion && now - BOUND_MILLIS > this.accepted) ? 1 : 0;
			this.withdrawnWorkInForce += (withdrawnVersion && now > this.inForce) ? 1 : 0;
		}

		private boolean mayStart(int host, int now) {
			boolean fresh = now - this.confirmed[host] <= BOUND_MILLIS;
			return switch (this.rule) {
				case STRICT -> fresh;
				case PROVEN -> fresh || now - this.refusedByLog[host] <= BOUND_MILLIS;
				case WAITING, SERVE -> true;
			};
		}

		private boolean under(int now) {
			return now >= FAULT_BEGIN_MILLIS && now < FAULT_END_MILLIS;
		}

		private boolean second(int host) {
			return host >= this.hosts / 2;
		}

		private boolean accepts(int host, int now) {
			return !under(now) || (this.fault != Fault.LOG_DOWN && !second(host));
		}

		private boolean answers(int host) {
			return this.fault == Fault.LOG_DOWN || (this.fault == Fault.LOG_DIVIDED && second(host));
		}

		private boolean reaches(int host, int peer, int now) {
			boolean divided = this.fault == Fault.REGION_CUT || this.fault == Fault.LOG_DIVIDED;
			return !(under(now) && divided) || second(host) == second(peer);
		}

	}

}
