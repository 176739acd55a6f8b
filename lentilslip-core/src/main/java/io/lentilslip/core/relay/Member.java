package io.lentilslip.core.relay;

/**
 * Immutable relay of a site, as it registers itself in the store. Safe for use by several
 * threads.
 *
 * @param address the address at which it accepts connections; also its name
 * @param zone its availability zone; empty if unknown
 * @param weight its share of the processors of the site, relative to other weights
 */
public record Member(String address, String zone, int weight) {

	/**
	 * The weight of a relay that registers none.
	 */
	public static final int DEFAULT_WEIGHT = 100;

	/**
	 * Creates a member.
	 * @param address the address at which it accepts connections; also its name
	 * @param zone its availability zone; empty if unknown
	 * @param weight its share of the processors of the site, relative to other weights
	 */
	public Member {
		weight = Math.max(1, weight);
	}

	/**
	 * Returns a relay that registers only its address.
	 * @param address the address
	 * @return the member
	 */
	public static Member of(String address) {
		return new Member(address, "", DEFAULT_WEIGHT);
	}

}
