package io.sequoialink.catalogue;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

class CatalogueExplorerTests {

	private static final int SEEDS = Integer.getInteger("explorer.seeds", 40);

	@Test
	void everySeedKeepsThePromises() throws Exception {
		int checkpoints = 0;
		for (long seed = 0; seed < SEEDS; seed++) {
			CatalogueExplorer explorer = new CatalogueExplorer(seed, CatalogueExplorer.Variant.CORRECT);
			assertThat(explorer.explore()).as("seed %s", seed).isEmpty();
			checkpoints += explorer.checkpoints();
		}
		assertThat(checkpoints).as("checkpoints written").isGreaterThan(SEEDS);
	}

	@ParameterizedTest
	@EnumSource(value = CatalogueExplorer.Variant.class, mode = EnumSource.Mode.EXCLUDE, names = "CORRECT")
	void brokenVariantIsCaught(CatalogueExplorer.Variant variant) throws Exception {
		List<String> broken = new ArrayList<>();
		for (long seed = 0; seed < SEEDS && broken.isEmpty(); seed++) {
			broken.addAll(new CatalogueExplorer(seed, variant).explore());
		}
		assertThat(broken).isNotEmpty();
	}

}
