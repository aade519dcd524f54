package io.sequoialink.bench.faults;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sequoialink.bench.Experiment;
import io.sequoialink.bench.ExperimentException;
import io.sequoialink.bench.ExperimentOptions;
import io.sequoialink.bench.ExperimentResult;
import io.sequoialink.bench.Target;
import io.sequoialink.bench.live.LiveFleet;
import io.sequoialink.bench.live.PromiseAudit;
import io.sequoialink.daemon.host.HostPolicies;
import io.sequoialink.model.Selector;
import io.sequoialink.standin.Standins;

/**
 * Counts broken promises while two faults strike a running fleet at once and a version is
 * withdrawn in their midst. Stateless.
 */
public final class FaultsExperiment implements Experiment {

	private static final double SPEED = 0.05;

	private static final int QUICK_REQUESTS = 400;

	private static final int REQUESTS = 2_000;

	private static final int REQUESTS_A_SECOND = 60;

	private static final long IN_FORCE_MILLIS = 5_000;

	private static final long SETTLE_MILLIS = 20_000;

	@Override
	public String name() {
		return "faults";
	}

	@Override
	public String question() {
		return "Do the promises hold while two faults, drawn by the seed, strike the running fleet at once?";
	}

	@Override
	public String baselines() {
		return "none: the counts are taken at the stand-ins and must be 0";
	}

	@Override
	public List<Target> targets() {
		List<Target> targets = new ArrayList<>();
		for (String field : List.of("lost", "cut_off", "billed_twice", "unbilled", "wrong_answers",
				"withdrawn_new_work", "disallowed_runs", "executed_twice", "refused_but_executed")) {
			targets.add(Target.atMost(field, 0));
		}
		return targets;
	}

	@Override
	public ExperimentResult run(ExperimentOptions options) throws ExperimentException {
		List<Fault> faults = Fault.two(options.seed());
		try {
			Standins standins = Standins.of(options.deployment()).seed(options.seed()).timeScale(SPEED).start();
			try (LiveFleet fleet = LiveFleet.start(options.deployment(), standins, options.hosts(),
					HostPolicies.DEFAULT, options.seed())) {
				ObjectNode figures = measure(fleet, faults, options);
				return new ExperimentResult(figures, List.of("faults at once: " + faults), Map.of());
			}
		}
		catch (Exception ex) {
			throw new ExperimentException("the faults " + faults + " could not be carried out", ex);
		}
	}

	private static ObjectNode measure(LiveFleet fleet, List<Fault> faults, ExperimentOptions options) throws Exception {
		PromiseAudit audit = PromiseAudit.of(fleet);
		int requests = options.quick() ? QUICK_REQUESTS : REQUESTS;
		Random random = new Random(options.seed());
		FaultLoad load = new FaultLoad(fleet, audit);
		long started = System.nanoTime();
		for (int i = 0; i < requests; i++) {
			if (i == requests / 4 || i == requests * 2 / 3) {
				change(fleet, faults, i == requests / 4);
				load.refresh();
			}
			if (i == requests / 2) {
				withdraw(fleet, audit);
			}
			load.send(i, random);
			pauseUntil(started + i * 1_000_000_000L / REQUESTS_A_SECOND);
		}
		load.close();
		return settle(audit);
	}

	private static void change(LiveFleet fleet, List<Fault> faults, boolean begin) throws Exception {
		for (Fault fault : faults) {
			if (begin) {
				fault.begin(fleet);
			}
			else {
				fault.end(fleet);
			}
		}
	}

	private static void withdraw(LiveFleet fleet, PromiseAudit audit) {
		String dearest = fleet.standins().outcomes().table().versions().get(2).id();
		Withdrawing.inBackground(fleet, Selector.parse("id=" + dearest),
				() -> audit.withdrawn(dearest, System.currentTimeMillis() + IN_FORCE_MILLIS));
	}

	private static ObjectNode settle(PromiseAudit audit) throws InterruptedException {
		long end = System.nanoTime() + SETTLE_MILLIS * 1_000_000;
		ObjectNode figures = audit.count();
		while (figures.path("unbilled").asLong() > 0 && System.nanoTime() < end) {
			Thread.sleep(200);
			figures = audit.count();
		}
		figures.put("answered_share", figures.path("answered").asDouble() / figures.path("requests").asDouble());
		return figures;
	}

	private static void pauseUntil(long nanos) throws InterruptedException {
		long millis = (nanos - System.nanoTime()) / 1_000_000;
		if (millis > 0) {
			Thread.sleep(millis);
		}
	}

}
