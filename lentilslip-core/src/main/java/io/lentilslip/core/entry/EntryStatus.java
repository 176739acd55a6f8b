package io.lentilslip.core.entry;

import java.util.List;
import java.util.Optional;

import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.identity.ZoneName;

/**
 * What operators see of an entry. Immutable and safe for use by several threads.
 *
 * @param process the process
 * @param configurationVersion the version in force, or -1
 * @param logOffset the offset of the next record to read
 * @param logReachable whether the log can be read
 * @param calls the calls that have no answer yet
 * @param programs the programs the log knows, ended ones included
 * @param upstreams the sidecars, in the order of their VMs
 * @param groups the configured groups
 * @param stopping whether the process takes no new calls
 */
public record EntryStatus(ProcessId process, long configurationVersion, long logOffset, boolean logReachable, int calls,
		int programs, List<Upstream> upstreams, List<Group> groups, boolean stopping) {

	/**
	 * Creates a value.
	 * @param process the process
	 * @param configurationVersion the version in force, or -1
	 * @param logOffset the offset of the next record to read
	 * @param logReachable whether the log can be read
	 * @param calls the calls that have no answer yet
	 * @param programs the programs the log knows, ended ones included
	 * @param upstreams the sidecars, in the order of their VMs
	 * @param groups the configured groups
	 * @param stopping whether the process takes no new calls
	 */
	public EntryStatus {
		upstreams = List.copyOf(upstreams);
		groups = List.copyOf(groups);
	}

	/**
	 * What an entry knows of a group.
	 *
	 * @param group the group
	 * @param share its weight against the other groups' weights
	 * @param used the tokens of the present period that are used or reserved
	 * @param limit the tokens of a period, if there is a limit
	 */
	public record Group(GroupName group, long share, long used, Optional<Long> limit) {

	}

	/**
	 * What an entry knows of a sidecar.
	 *
	 * @param vm the VM
	 * @param zone the availability zone
	 * @param linked whether it is linked
	 * @param leaving whether it leaves
	 * @param queued the calls waiting there
	 * @param running the calls running there
	 * @param limit the most calls running there at once
	 */
	public record Upstream(VmName vm, ZoneName zone, boolean linked, boolean leaving, int queued, int running,
			int limit) {

	}

}
