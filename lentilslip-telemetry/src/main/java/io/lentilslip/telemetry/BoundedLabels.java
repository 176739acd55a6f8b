package io.lentilslip.telemetry;

import java.util.HashSet;
import java.util.Set;

/**
 * The values of a label whose number is not known beforehand. The first ones get values
 * of their own; once there are as many as allowed, each further one is counted under
 * {@link #OTHER}. Without the bound, each name costs a set of time series in this process
 * and in the store behind it, and a site with many groups ends out of memory. Never holds
 * more values than its limit. Not safe for use by several threads.
 */
final class BoundedLabels {

	/**
	 * The value for all that have none of their own. A group of this very name shares it.
	 */
	static final String OTHER = "other";

	private final int limit;

	private final Set<String> labels = new HashSet<>();

	/**
	 * Creates an empty set of values.
	 * @param limit the most values besides {@link #OTHER}
	 */
	BoundedLabels(int limit) {
		if (limit < 0) {
			throw new IllegalArgumentException("the limit is negative: " + limit);
		}
		this.limit = limit;
	}

	/**
	 * Returns the value for a text, which is the text itself while there is room.
	 * @param text the text
	 * @return the value of the label
	 */
	String labelOf(String text) {
		if (text.equals(OTHER)) {
			return OTHER;
		}
		if (this.labels.contains(text)) {
			return text;
		}
		if (this.labels.size() >= this.limit) {
			return OTHER;
		}
		this.labels.add(text);
		return text;
	}

	/**
	 * Makes room for another value.
	 * @param text the text that is no longer used
	 * @return whether it had a value of its own
	 */
	boolean release(String text) {
		return this.labels.remove(text);
	}

}
