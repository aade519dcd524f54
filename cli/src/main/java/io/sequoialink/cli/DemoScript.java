package io.sequoialink.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import io.sequoialink.bench.live.DeploymentObjects;
import io.sequoialink.standin.OutcomeTable;

/**
 * Generates the requests of the demo reproducibly from a seed: cheap and difficult ones,
 * streamed responses, a session before and after its version is withdrawn, a charge that
 * is sent twice with the same idempotency key, and requests that are rejected. Stateless
 * and thread-safe.
 */
final class DemoScript {

	private static final int COMPLETE_RESPONSE_STEPS = 6;

	private static final int STREAMED_RESPONSE_STEPS = 3;

	private DemoScript() {
	}

	static List<DemoStep> generate(OutcomeTable outcomes, int hosts, long seed) {
		Random random = new Random(seed);
		List<DemoStep> steps = new ArrayList<>();
		steps.add(step(DemoStep.Kind.SESSION_START, sessionClass(outcomes), random, hosts));
		for (int i = 0; i < COMPLETE_RESPONSE_STEPS; i++) {
			steps.add(step(DemoStep.Kind.WHOLE, outcomes.classes().get(random.nextInt(outcomes.classes().size())),
					random, hosts));
		}
		for (int i = 0; i < STREAMED_RESPONSE_STEPS; i++) {
			steps.add(step(DemoStep.Kind.STREAMED, outcomes.classes().get(random.nextInt(outcomes.classes().size())),
					random, hosts));
		}
		steps.add(step(DemoStep.Kind.SESSION_NEXT, sessionClass(outcomes), random, hosts));
		steps.add(step(DemoStep.Kind.CHARGE, outcomes.classes().get(0), random, hosts));
		steps.add(new DemoStep(DemoStep.Kind.DISALLOWED, DeploymentObjects.RESTRICTED, outcomes.classes().get(0).id(),
				"please", 8, random.nextInt(hosts)));
		steps.add(step(DemoStep.Kind.UNKNOWN_ACCOUNT, outcomes.classes().get(0), random, hosts));
		steps.add(step(DemoStep.Kind.WITHDRAW, outcomes.classes().get(0), random, hosts));
		steps.add(step(DemoStep.Kind.SESSION_NEXT, sessionClass(outcomes), random, hosts));
		steps.add(step(DemoStep.Kind.CHARGE_AGAIN, outcomes.classes().get(0), random, hosts));
		steps.add(step(DemoStep.Kind.SESSION_START, sessionClass(outcomes), random, hosts));
		for (OutcomeTable.RequestClass requestClass : outcomes.classes()) {
			steps.add(step(DemoStep.Kind.WHOLE, requestClass, random, hosts));
			steps.add(step(DemoStep.Kind.STREAMED, requestClass, random, hosts));
		}
		return steps;
	}

	private static OutcomeTable.RequestClass sessionClass(OutcomeTable outcomes) {
		return outcomes.classes().get(1);
	}

	private static DemoStep step(DemoStep.Kind kind, OutcomeTable.RequestClass requestClass, Random random, int hosts) {
		int tokens = requestClass.answerTokens().quantile(random.nextDouble());
		String account = "account-" + random.nextInt(DeploymentObjects.ACCOUNTS - 1);
		String prompt = "draft " + random.nextInt(1_000_000) + " for class " + requestClass.id();
		return new DemoStep(kind, account, requestClass.id(), prompt, tokens, random.nextInt(hosts));
	}

}
