package io.sequoialink.bench.slopes;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class CapacityPageTests {

	@TempDir
	private Path directory;

	@Test
	void tablesReplaceWhatStoodBetweenTheMarks() throws Exception {
		Path page = this.directory.resolve(CapacityPage.NAME);
		Files.write(page, List.of("before", CapacityPage.BEGIN, "old", CapacityPage.END, "after"));
		CapacityPage.write(this.directory, List.of("new"));
		CapacityPage.write(this.directory, List.of("newer"));
		assertThat(Files.readAllLines(page)).containsExactly("before", CapacityPage.BEGIN, "newer", CapacityPage.END,
				"after");
	}

	@Test
	void missingPageIsBegun() throws Exception {
		CapacityPage.write(this.directory, List.of("table"));
		assertThat(Files.readAllLines(this.directory.resolve(CapacityPage.NAME))).contains("table");
	}

}
