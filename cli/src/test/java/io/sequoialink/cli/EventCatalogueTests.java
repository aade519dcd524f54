package io.sequoialink.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks that the catalogue of log events ({@code docs/EVENTS.md}) lists exactly the
 * events that the main sources of all modules log.
 */
class EventCatalogueTests {

	private static final Path ROOT = Path.of("..");

	private static final Pattern EVENT_IN_SOURCE = Pattern.compile("\"(SL-\\d{4}) ");

	private static final Pattern EVENT_IN_CATALOGUE = Pattern.compile("(?m)^\\| (SL-\\d{4}) \\|");

	@Test
	void eachEventIsInTheCatalogueOnceAndEachEntryIsInTheSources() throws IOException {
		List<String> inSources = ids(EVENT_IN_SOURCE, sources());
		List<String> inCatalogue = ids(EVENT_IN_CATALOGUE, catalogue());
		assertThat(inSources).isNotEmpty().doesNotHaveDuplicates();
		assertThat(inCatalogue).doesNotHaveDuplicates().containsExactlyInAnyOrderElementsOf(inSources);
	}

	private static List<Path> sources() throws IOException {
		try (Stream<Path> files = Files.walk(ROOT)) {
			return files.filter((file) -> file.toString().contains("src/main/java"))
				.filter((file) -> file.toString().endsWith(".java"))
				.toList();
		}
	}

	private static List<Path> catalogue() {
		return List.of(ROOT.resolve("docs/EVENTS.md"));
	}

	private static List<String> ids(Pattern pattern, List<Path> files) throws IOException {
		List<String> ids = new ArrayList<>();
		for (Path file : files) {
			Matcher matcher = pattern.matcher(Files.readString(file));
			while (matcher.find()) {
				ids.add(matcher.group(1));
			}
		}
		return ids;
	}

}
