package io.sequoialink.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import io.sequoialink.bench.live.DeploymentObjects;
import io.sequoialink.standin.OutcomeTable;

/**
 * Draws the requests of the demo from a seed: cheap and hard ones, streams, a session on
 * both sides of a withdrawal, a charge that is sent twice, and refusals. Stateless and
 * thread-safe.
 */
final class DemoScript {

	private static final int WHOLE_STEPS = 6;

	private static final int STREAMED_STEPS = 3;

	private DemoScript() {
	}

	static List<DemoStep> draw(OutcomeTable table, int hosts, long seed) {
		Random random = new Random(seed);
		List<DemoStep> steps = new ArrayList<>();
		steps.add(step(DemoStep.Kind.SESSION_START, sessionClass(table), random, hosts));
		for (int i = 0; i < WHOLE_STEPS; i++) {
			steps.add(step(DemoStep.Kind.WHOLE, table.classes().get(random.nextInt(table.classes().size())), random,
					hosts));
		}
		for (int i = 0; i < STREAMED_STEPS; i++) {
			steps.add(step(DemoStep.Kind.STREAMED, table.classes().get(random.nextInt(table.classes().size())), random,
					hosts));
		}
		steps.add(step(DemoStep.Kind.SESSION_NEXT, sessionClass(table), random, hosts));
		steps.add(step(DemoStep.Kind.CHARGE, table.classes().get(0), random, hosts));
		steps.add(new DemoStep(DemoStep.Kind.DISALLOWED, DeploymentObjects.RESTRICTED, table.classes().get(0).id(),
				"please", 8, random.nextInt(hosts)));
		steps.add(step(DemoStep.Kind.UNKNOWN_ACCOUNT, table.classes().get(0), random, hosts));
		steps.add(step(DemoStep.Kind.WITHDRAW, table.classes().get(0), random, hosts));
		steps.add(step(DemoStep.Kind.SESSION_NEXT, sessionClass(table), random, hosts));
		steps.add(step(DemoStep.Kind.CHARGE_AGAIN, table.classes().get(0), random, hosts));
		steps.add(step(DemoStep.Kind.SESSION_START, sessionClass(table), random, hosts));
		for (OutcomeTable.RequestClass known : table.classes()) {
			steps.add(step(DemoStep.Kind.WHOLE, known, random, hosts));
			steps.add(step(DemoStep.Kind.STREAMED, known, random, hosts));
		}
		return steps;
	}

	private static OutcomeTable.RequestClass sessionClass(OutcomeTable table) {
		return table.classes().get(1);
	}

	private static DemoStep step(DemoStep.Kind kind, OutcomeTable.RequestClass known, Random random, int hosts) {
		int tokens = known.answerTokens().quantile(random.nextDouble());
		String account = "account-" + random.nextInt(DeploymentObjects.ACCOUNTS - 1);
		String prompt = "draft " + random.nextInt(1_000_000) + " for class " + known.id();
		return new DemoStep(kind, account, known.id(), prompt, tokens, random.nextInt(hosts));
	}

}
