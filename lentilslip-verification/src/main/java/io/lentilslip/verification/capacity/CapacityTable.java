package io.lentilslip.verification.capacity;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * The tables that the page on capacity holds, worked out from the lines alone. The same
 * lines give the same text. Immutable and safe for use by several threads.
 */
public final class CapacityTable {

	/**
	 * The line of the page after which the tables begin.
	 */
	public static final String BEGIN = "<!-- derived from docs/capacity/fits.csv: begin -->";

	/**
	 * The line of the page before which the tables end.
	 */
	public static final String END = "<!-- derived from docs/capacity/fits.csv: end -->";

	private final Fits fits;

	private CapacityTable(Fits fits) {
		this.fits = fits;
	}

	/**
	 * Returns the tables that follow from some lines.
	 * @param fits the lines
	 * @return the tables
	 */
	static CapacityTable from(Fits fits) {
		return new CapacityTable(fits);
	}

	/**
	 * Returns the figures, in the order of the page.
	 * @return the figures
	 */
	List<Figure> figures() {
		Sheet sheet = new Sheet(this.fits);
		new TodaysFigures(sheet).fill();
		new PlannedFigures(sheet).fill();
		return sheet.figures();
	}

	/**
	 * Returns a page with the tables put between the two marks.
	 * @param page the page
	 * @return the page with the tables of these lines
	 * @throws IllegalArgumentException if the page lacks a mark
	 */
	String putInto(String page) {
		int begin = page.indexOf(BEGIN);
		int end = page.indexOf(END);
		if (begin < 0 || end < begin) {
			throw new IllegalArgumentException("the page lacks the marks of the derived tables");
		}
		return page.substring(0, begin + BEGIN.length()) + "\n" + text() + page.substring(end);
	}

	private String text() {
		List<String> lines = new ArrayList<>();
		lines.add("### What is assumed");
		lines.add("");
		lines.add("| name | value | meaning |");
		lines.add("| --- | ---: | --- |");
		Arrays.stream(Assumption.values()).map(CapacityTable::line).forEach(lines::add);
		lines.addAll(broken());
		for (String role : figures().stream().map(Figure::role).distinct().toList()) {
			lines.addAll(tableOf(role));
		}
		lines.addAll(slopes());
		return String.join("\n", lines) + "\n";
	}

	private static String line(Assumption assumption) {
		return "| %s | %s | %s |".formatted(assumption.name(), String.format(Locale.ROOT, "%,.0f", assumption.value()),
				assumption.meaning());
	}

	private List<String> broken() {
		List<String> lines = new ArrayList<>();
		lines.add("");
		lines.add("### What breaks a limit at the target size");
		lines.add("");
		lines.add("| whose | what | figure | limit | times the limit |");
		lines.add("| --- | --- | ---: | ---: | ---: |");
		for (Figure figure : figures()) {
			if (!figure.isWithinLimit()) {
				double limit = figure.limit().orElseThrow();
				lines.add("| %s | %s | %s | %s | %s |".formatted(figure.role(), figure.matter(),
						figure.unit().text(figure.value()), figure.unit().text(limit),
						Figure.Unit.COUNT.text(figure.value() / limit)));
			}
		}
		return lines;
	}

	private List<String> tableOf(String role) {
		List<String> lines = new ArrayList<>();
		lines.add("");
		lines.add("### " + Character.toUpperCase(role.charAt(0)) + role.substring(1));
		lines.add("");
		lines.add("| what | figure | limit | basis | step | from |");
		lines.add("| --- | ---: | ---: | --- | --- | --- |");
		figures().stream().filter((figure) -> figure.role().equals(role)).map(CapacityTable::line).forEach(lines::add);
		return lines;
	}

	private static String line(Figure figure) {
		String limit = (figure.limit().isPresent()) ? figure.unit().text(figure.limit().getAsDouble()) : "";
		String value = figure.unit().text(figure.value());
		return "| %s | %s | %s | %s | %s | %s |".formatted(figure.matter(),
				(figure.isWithinLimit()) ? value : "**" + value + "**", limit, figure.basis(), figure.step(),
				sources(figure));
	}

	private static String sources(Figure figure) {
		List<String> names = new ArrayList<>(figure.fits().stream().map(Fit::quantity).toList());
		figure.assumptions().stream().map(Assumption::name).forEach(names::add);
		return names.stream().collect(Collectors.joining(", "));
	}

	private List<String> slopes() {
		List<String> lines = new ArrayList<>();
		lines.add("");
		lines.add("### The lines");
		lines.add("");
		lines.add("| quantity | unit | points | slope | ± | at 0 | R² |");
		lines.add("| --- | --- | ---: | ---: | ---: | ---: | ---: |");
		for (Fit fit : this.fits.all()) {
			lines.add(String.format(Locale.ROOT, "| %s | %s | %d | %,.2f | %,.2f | %,.0f | %.4f |", fit.quantity(),
					fit.unit().name().toLowerCase(Locale.ROOT), fit.points(), fit.slope(), fit.slopeError(),
					fit.intercept(), fit.rSquared()));
		}
		return lines;
	}

}
