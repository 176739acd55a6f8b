package io.lentilslip.verification.capacity;

import java.util.List;
import java.util.Locale;
import java.util.OptionalDouble;

/**
 * One figure at the target size. Immutable and safe for use by several threads.
 *
 * @param role whose figure it is
 * @param matter what it is
 * @param value the value
 * @param unit the unit of the value
 * @param limit the most it may be, if there is a limit
 * @param step how it comes from the slopes, the target and the assumptions
 * @param fits the lines that it uses
 * @param assumptions the assumptions that it uses
 */
record Figure(String role, String matter, double value, Unit unit, OptionalDouble limit, String step, List<Fit> fits,
		List<Assumption> assumptions) {

	/**
	 * Returns whether the value keeps its limit.
	 * @return whether there is no limit or the value is within it
	 */
	boolean isWithinLimit() {
		return this.limit.isEmpty() || this.value <= this.limit.getAsDouble();
	}

	/**
	 * Returns how far the figure can be trusted.
	 * @return the word for the page
	 */
	String basis() {
		if (!this.assumptions.isEmpty()) {
			return "estimated";
		}
		return (this.fits.isEmpty()) ? "arithmetic" : "measured slope";
	}

	/**
	 * A unit of figures. Safe for use by several threads.
	 */
	enum Unit {

		/**
		 * Bytes.
		 */
		BYTES(" B"),

		/**
		 * Bytes a second.
		 */
		BYTES_A_SECOND(" B/s"),

		/**
		 * A share of one core.
		 */
		CORE(" of a core"),

		/**
		 * A number of things.
		 */
		COUNT(""),

		/**
		 * A number of things a second.
		 */
		A_SECOND(" /s"),

		/**
		 * Seconds.
		 */
		SECONDS(" s");

		private static final double STEP = 1000;

		private static final String PREFIXES = "kMGTP";

		private final String symbol;

		Unit(String symbol) {
			this.symbol = symbol;
		}

		/**
		 * Returns a value in this unit to three digits.
		 * @param value the value
		 * @return the text
		 */
		String text(double value) {
			return switch (this) {
				case BYTES, BYTES_A_SECOND -> scaled(value);
				case CORE -> digits(value * 100) + "%" + this.symbol;
				default -> digits(value) + this.symbol;
			};
		}

		private String scaled(double value) {
			double left = value;
			int prefix = -1;
			while (left >= STEP && prefix < PREFIXES.length() - 1) {
				left /= STEP;
				prefix++;
			}
			return digits(left) + ((prefix < 0) ? this.symbol : " " + PREFIXES.charAt(prefix) + this.symbol.strip());
		}

		private static String digits(double value) {
			if (value >= 100) {
				return String.format(Locale.ROOT, "%,.0f", value);
			}
			return String.format(Locale.ROOT, (value >= 10) ? "%.1f" : "%.2f", value);
		}

	}

}
