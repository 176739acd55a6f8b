package io.lentilslip.application.status;

import java.util.ArrayList;
import java.util.List;

/**
 * A table of text whose columns are as wide as their longest cell. The first column is
 * set to the left, all others to the right. Not safe for use by several threads.
 */
public final class TextTable {

	private static final String GAP = "  ";

	private final List<List<String>> rows = new ArrayList<>();

	private final int columns;

	/**
	 * Creates a table without rows.
	 * @param titles the titles of the columns
	 */
	public TextTable(String... titles) {
		this.columns = titles.length;
		add((Object[]) titles);
	}

	/**
	 * Adds a row.
	 * @param cells its cells, one for each column
	 * @throws IllegalArgumentException if there are more or fewer cells than columns
	 */
	public void add(Object... cells) {
		if (cells.length != this.columns) {
			throw new IllegalArgumentException(cells.length + " cells in " + this.columns + " columns");
		}
		List<String> row = new ArrayList<>();
		for (Object cell : cells) {
			row.add(String.valueOf(cell));
		}
		this.rows.add(row);
	}

	/**
	 * Returns the table as text.
	 * @return lines, each with its end
	 */
	public String text() {
		StringBuilder text = new StringBuilder();
		for (List<String> row : this.rows) {
			StringBuilder line = new StringBuilder();
			for (int column = 0; column < this.columns; column++) {
				line.append((column == 0) ? "" : GAP).append(padded(row.get(column), column));
			}
			text.append(line.toString().stripTrailing()).append(System.lineSeparator());
		}
		return text.toString();
	}

	private String padded(String cell, int column) {
		int width = this.rows.stream().mapToInt((row) -> row.get(column).length()).max().orElse(0);
		String space = " ".repeat(width - cell.length());
		return (column == 0) ? cell + space : space + cell;
	}

}
