package io.sequoialink.bench.live;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.sequoialink.model.AccountId;
import io.sequoialink.model.AccountLimits;
import io.sequoialink.model.Cascade;
import io.sequoialink.model.ClassId;
import io.sequoialink.model.ClientAccount;
import io.sequoialink.model.ConfigObject;
import io.sequoialink.model.Labels;
import io.sequoialink.model.ModelVersion;
import io.sequoialink.model.PlainService;
import io.sequoialink.model.RequestClass;
import io.sequoialink.model.Selector;
import io.sequoialink.model.VersionId;
import io.sequoialink.model.VersionState;
import io.sequoialink.router.Digests;
import io.sequoialink.standin.OutcomeTable;

/**
 * The configuration of a deployment of the brief: ten client accounts, a few of them
 * large, the versions and classes of its table of outcomes, a cascade and the plain
 * services. Stateless and thread-safe.
 */
public final class DeploymentObjects {

	/** The number of client accounts. */
	public static final int ACCOUNTS = 10;

	/** The account that may not use the dearest tier. */
	public static final String RESTRICTED = "account-9";

	private static final int LARGE_ACCOUNTS = 3;

	private static final List<String> TIERS = List.of("small", "medium", "large");

	private DeploymentObjects() {
	}

	/**
	 * Returns the objects.
	 * @param deployment {@code magnolia} or {@code bergvik}
	 * @param table the versions and classes
	 * @return the objects in the order in which they are published
	 */
	public static List<ConfigObject> of(String deployment, OutcomeTable table) {
		List<ConfigObject> objects = new ArrayList<>();
		for (int i = 0; i < table.versions().size(); i++) {
			OutcomeTable.Version version = table.versions().get(i);
			objects.add(new ModelVersion(new VersionId(version.id()),
					Labels.of(Map.of("tier", tier(i), "id", version.id())), version.cost(), VersionState.OFFERED));
		}
		for (OutcomeTable.RequestClass known : table.classes()) {
			objects.add(new RequestClass(new ClassId(known.id()), Labels.of(Map.of("class", known.id())),
					known.qualityTarget(), Duration.ofMillis((long) known.deadline())));
		}
		objects.add(new Cascade("all-classes", Labels.none(), Selector.everything(),
				TIERS.stream().map((tier) -> Selector.parse("tier=" + tier)).toList()));
		for (int i = 0; i < ACCOUNTS; i++) {
			objects.add(account(i));
		}
		objects.add(service(deployment));
		return objects;
	}

	/**
	 * Returns the key of an account.
	 * @param account its identifier
	 * @return the key that its callers present
	 */
	public static String key(String account) {
		return "key-" + account;
	}

	/**
	 * Returns the service whose calls may not be repeated.
	 * @param deployment {@code magnolia} or {@code bergvik}
	 * @return its name
	 */
	public static String chargingService(String deployment) {
		return "magnolia".equals(deployment) ? "orders" : "deposits";
	}

	private static PlainService service(String deployment) {
		return new PlainService(chargingService(deployment), Labels.none(), Selector.everything(), false);
	}

	private static ClientAccount account(int index) {
		String id = "account-" + index;
		boolean large = index < LARGE_ACCOUNTS;
		Selector allowed = RESTRICTED.equals(id) ? Selector.parse("tier in (small, medium)") : Selector.everything();
		AccountLimits limits = large ? new AccountLimits(500, 400, 200_000) : new AccountLimits(200, 200, 100_000);
		return new ClientAccount(new AccountId(id), Labels.of(Map.of("size", large ? "large" : "small")),
				Digests.keyDigest(key(id)), allowed, 0, limits);
	}

	private static String tier(int index) {
		return TIERS.get(Math.min(index, TIERS.size() - 1));
	}

}
