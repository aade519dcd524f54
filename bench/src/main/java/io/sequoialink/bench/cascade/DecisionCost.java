package io.sequoialink.bench.cascade;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.SplittableRandom;

import com.sun.management.ThreadMXBean;
import io.sequoialink.decision.Attempt;
import io.sequoialink.decision.Candidate;
import io.sequoialink.decision.RequestFacts;
import io.sequoialink.decision.TierDecision;
import io.sequoialink.decision.cascade.AdaptiveCascadePolicy;
import io.sequoialink.decision.cascade.CascadeParameters;
import io.sequoialink.model.AccountId;
import io.sequoialink.model.ClassId;
import io.sequoialink.model.Effect;
import io.sequoialink.model.Labels;
import io.sequoialink.model.ModelVersion;
import io.sequoialink.model.RequestId;
import io.sequoialink.model.ServerId;
import io.sequoialink.model.VersionId;
import io.sequoialink.model.VersionState;
import org.HdrHistogram.Histogram;

/**
 * Times one start decision over the number of versions that the fleet is built for.
 * Figures depend on the machine and are notes only. Stateless; confined to one thread.
 */
final class DecisionCost {

	private static final int VERSIONS = 19;

	private static final int WARM_UP = 20_000;

	private static final int MEASURED = 50_000;

	private DecisionCost() {
	}

	static String measure(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		AdaptiveCascadePolicy policy = new AdaptiveCascadePolicy(CascadeParameters.DEFAULT);
		List<Candidate> candidates = candidates();
		ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
		Histogram nanos = new Histogram(3);
		long before = 0;
		for (int i = 0; i < WARM_UP + MEASURED; i++) {
			if (i == WARM_UP) {
				before = threads.getThreadAllocatedBytes(Thread.currentThread().getId());
			}
			RequestFacts facts = facts(i);
			long start = System.nanoTime();
			TierDecision decision = policy.start(facts, candidates, 60_000, random);
			long taken = System.nanoTime() - start;
			policy.learn(facts, new Attempt(decision.version(), new ServerId("s"), Effect.DONE,
					OptionalDouble.of(random.nextDouble()), "whole", 100), 1);
			if (i >= WARM_UP) {
				nanos.recordValue(taken);
			}
		}
		long bytes = (threads.getThreadAllocatedBytes(Thread.currentThread().getId()) - before) / MEASURED;
		return String.format(Locale.ROOT,
				"decision over %d versions: p50 %.1f us, p99 %.1f us, at most %d bytes with its request and learning",
				VERSIONS, nanos.getValueAtPercentile(50) / 1000.0, nanos.getValueAtPercentile(99) / 1000.0, bytes);
	}

	private static RequestFacts facts(int number) {
		return new RequestFacts(new RequestId("r" + number), new AccountId("a"), new ClassId("c"), 0.9, 60_000,
				number % 1000, 500, number % 3 == 0, Optional.empty(), false, 0, "", 0);
	}

	private static List<Candidate> candidates() {
		List<Candidate> candidates = new ArrayList<>();
		for (int i = 0; i < VERSIONS; i++) {
			candidates.add(new Candidate(
					new ModelVersion(new VersionId("v" + i), Labels.none(), 100 + 100 * i, VersionState.OFFERED), 50,
					1000 + 100 * i));
		}
		return candidates;
	}

}
