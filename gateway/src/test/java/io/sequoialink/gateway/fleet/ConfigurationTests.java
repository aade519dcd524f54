package io.sequoialink.gateway.fleet;

import java.util.List;
import java.util.OptionalInt;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigurationTests {

	private final Configuration configuration = new Configuration(3,
			List.of(route("short", "/a/"), route("long", "/a/b/"), route("other", "/c/")), List.of(),
			List.of(new ClientAccount("acme", List.of("k1", "k2"), OptionalInt.empty())), ClientLimits.INITIAL);

	@ParameterizedTest
	@CsvSource({ "h.example, /a/x, short", "h.example, /a/b/x, long", "h.example, /a/bx, short",
			"h.example, /c/, other", "h.example, /d/x, none", "h.example, /a, none", "h.example, '', none",
			"i.example, /a/x, none" })
	void theRouteWithTheLongestMatchingPrefixIsFound(String host, String path, String expected) {
		assertThat(this.configuration.route(host, path).map(Route::name).orElse("none")).isEqualTo(expected);
	}

	@Test
	void accountsAreFoundByEachOfTheirKeys() {
		assertThat(this.configuration.account("k2").map(ClientAccount::name)).contains("acme");
		assertThat(this.configuration.account("k3")).isEmpty();
	}

	@Test
	void anEarlierConfigurationDoesNotReplaceALaterOne() {
		FleetView view = new FleetView();
		assertThat(view.updateConfiguration(this.configuration)).isTrue();
		assertThat(
				view.updateConfiguration(new Configuration(2, List.of(), List.of(), List.of(), ClientLimits.INITIAL)))
			.isFalse();
		assertThat(view.configuration().map(Configuration::version)).contains(3L);
	}

	private static Route route(String name, String prefix) {
		return new Route(name, "h.example", prefix, RequestKind.IDEMPOTENT, List.of(new WeightedService("s", 1)), 1000,
				100, 0, 1, false, false, 0, List.of());
	}

}
