package io.lentilslip.standin.engine;

/**
 * What an engine does with the fencing numbers of orders.
 */
public enum FencingPolicy {

	/**
	 * An order with a number below the highest seen is refused.
	 */
	CHECKED,

	/**
	 * Every order is carried out, whatever its number.
	 */
	IGNORED

}
