package io.lentilslip.standin.vmlist;

import java.util.Objects;

/**
 * A VM as the stand-in lists it. Immutable and safe for use by several threads.
 *
 * @param name the name of the VM
 * @param address its IP address
 * @param zone its availability zone
 * @param state {@value #LIVE} or {@value #LEAVING}; another text is served as it is, as a
 * faulty list would be
 */
public record ListedVm(String name, String address, String zone, String state) {

	/**
	 * The state of a VM that runs.
	 */
	public static final String LIVE = "live";

	/**
	 * The state of a VM that is about to go.
	 */
	public static final String LEAVING = "leaving";

	/**
	 * Creates a listed VM.
	 * @param name the name of the VM
	 * @param address its IP address
	 * @param zone its availability zone
	 * @param state its state
	 */
	public ListedVm {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(address, "address");
		Objects.requireNonNull(zone, "zone");
		Objects.requireNonNull(state, "state");
	}

	/**
	 * Returns a VM that runs.
	 * @param name the name of the VM
	 * @param address its IP address
	 * @param zone its availability zone
	 * @return the VM
	 */
	public static ListedVm live(String name, String address, String zone) {
		return new ListedVm(name, address, zone, LIVE);
	}

	/**
	 * Returns this VM as one that is about to go.
	 * @return the VM
	 */
	public ListedVm leaving() {
		return new ListedVm(this.name, this.address, this.zone, LEAVING);
	}

}
