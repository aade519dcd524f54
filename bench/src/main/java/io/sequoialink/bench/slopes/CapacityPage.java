package io.sequoialink.bench.slopes;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Puts the tables into the page on capacity, between two marks, so that no figure there
 * is typed. Stateless and thread-safe.
 */
final class CapacityPage {

	/** The page's name. */
	static final String NAME = "CAPACITY.md";

	static final String BEGIN = "<!-- begin: bench slopes -->";

	static final String END = "<!-- end: bench slopes -->";

	private CapacityPage() {
	}

	/**
	 * Replaces what stands between the marks of the page, or writes a page of tables
	 * only.
	 * @param directory where the page is or will be
	 * @param tables the tables
	 * @throws IOException if the page can't be read or written
	 */
	static void write(Path directory, List<String> tables) throws IOException {
		Files.createDirectories(directory);
		Path page = directory.resolve(NAME);
		List<String> old = Files.exists(page) ? Files.readAllLines(page) : List.of(BEGIN, END);
		List<String> lines = new ArrayList<>();
		boolean inTables = false;
		for (String line : old) {
			inTables &= !line.equals(END);
			if (!inTables) {
				lines.add(line);
			}
			if (line.equals(BEGIN)) {
				inTables = true;
				lines.addAll(tables);
			}
		}
		Files.write(page, lines);
	}

}
