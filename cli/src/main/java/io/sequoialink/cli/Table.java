package io.sequoialink.cli;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;

/**
 * Prints rows of text in left-aligned columns; the first row holds the headings. Confined
 * to one thread. Each row must have one text for each column.
 */
final class Table {

	private static final int COLUMN_GAP = 2;

	private final List<List<String>> rows = new ArrayList<>();

	Table(String... columns) {
		this.rows.add(List.of(columns));
	}

	Table row(Object... cells) {
		this.rows.add(Arrays.stream(cells).map(Objects::toString).toList());
		return this;
	}

	void print(PrintWriter out) {
		int[] widths = new int[this.rows.get(0).size()];
		for (List<String> row : this.rows) {
			for (int i = 0; i < widths.length; i++) {
				widths[i] = Math.max(widths[i], row.get(i).length());
			}
		}
		for (List<String> row : this.rows) {
			StringBuilder line = new StringBuilder();
			for (int i = 0; i < widths.length; i++) {
				line.append(row.get(i)).append(" ".repeat(widths[i] - row.get(i).length() + COLUMN_GAP));
			}
			out.println(line.toString().stripTrailing());
		}
	}

}
