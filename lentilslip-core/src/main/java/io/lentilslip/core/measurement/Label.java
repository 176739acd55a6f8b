package io.lentilslip.core.measurement;

import java.util.Locale;

/**
 * A constant that serves as the value of a label of a metric. Only enums implement this,
 * which bounds the number of values. Implementations are safe for use by several threads.
 */
public interface Label {

	/**
	 * Returns the name of the constant.
	 * @return the name as declared
	 */
	String name();

	/**
	 * Returns the value of the label.
	 * @return the name in lower case
	 */
	default String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
