package io.lentilslip.core.relay;

/**
 * One of the relays of a site, as it writes itself to the store. Immutable and safe for
 * use by several threads.
 *
 * @param address the address at which it takes links, which is its name
 * @param zone its availability zone; empty if it does not say
 * @param weight its part of the processors of the site, relative to the weights of others
 */
public record Member(String address, String zone, int weight) {

	/**
	 * The weight of a relay that does not say.
	 */
	public static final int DEFAULT_WEIGHT = 100;

	/**
	 * Creates a member.
	 * @param address the address at which it takes links, which is its name
	 * @param zone its availability zone; empty if it does not say
	 * @param weight its part of the processors of the site, relative to the weights of
	 * others
	 */
	public Member {
		weight = Math.max(1, weight);
	}

	/**
	 * Returns a relay that says nothing but its address.
	 * @param address the address
	 * @return the member
	 */
	public static Member of(String address) {
		return new Member(address, "", DEFAULT_WEIGHT);
	}

}
