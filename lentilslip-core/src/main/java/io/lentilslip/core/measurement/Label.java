package io.lentilslip.core.measurement;

import java.util.Locale;

/**
 * Constant used as the value of a metric label. Only enums implement this interface,
 * which bounds the label's cardinality. Implementations are safe for use by several
 * threads.
 */
public interface Label {

	/**
	 * Returns the name of the constant.
	 * @return the name as declared
	 */
	String name();

	/**
	 * Returns the label value.
	 * @return the name in lower case
	 */
	default String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
