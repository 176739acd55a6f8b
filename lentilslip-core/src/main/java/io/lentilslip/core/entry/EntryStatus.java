package io.lentilslip.core.entry;

import java.util.List;
import java.util.Optional;

import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.identity.ZoneName;

/**
 * Status of an entry for operators. Immutable and safe for use by several threads.
 *
 * @param process the process
 * @param configurationVersion the active configuration version, or -1 if there is none
 * @param logOffset the offset of the next record to read
 * @param logReachable whether the log is reachable
 * @param calls the number of unanswered calls
 * @param programs the number of programs in the ledger, including ended ones
 * @param upstreams the sidecars, ordered by VM
 * @param groups the configured groups
 * @param stopping whether the process is shutting down and refuses new calls
 */
public record EntryStatus(ProcessId process, long configurationVersion, long logOffset, boolean logReachable, int calls,
		int programs, List<Upstream> upstreams, List<Group> groups, boolean stopping) {

	/**
	 * Creates a value.
	 * @param process the process
	 * @param configurationVersion the active configuration version, or -1 if there is
	 * none
	 * @param logOffset the offset of the next record to read
	 * @param logReachable whether the log is reachable
	 * @param calls the number of unanswered calls
	 * @param programs the number of programs in the ledger, including ended ones
	 * @param upstreams the sidecars, ordered by VM
	 * @param groups the configured groups
	 * @param stopping whether the process is shutting down and refuses new calls
	 */
	public EntryStatus {
		upstreams = List.copyOf(upstreams);
		groups = List.copyOf(groups);
	}

	/**
	 * Budget use of a group.
	 *
	 * @param group the group
	 * @param share the weight of the group in fair sharing
	 * @param used the tokens used or reserved in the current period
	 * @param limit the tokens per period, if the group has a budget
	 */
	public record Group(GroupName group, long share, long used, Optional<Long> limit) {

	}

	/**
	 * State and load of a sidecar.
	 *
	 * @param vm the VM
	 * @param zone the availability zone
	 * @param linked whether a link is open
	 * @param leaving whether the sidecar is draining
	 * @param queued the number of queued calls
	 * @param running the number of running calls
	 * @param limit the concurrency limit
	 */
	public record Upstream(VmName vm, ZoneName zone, boolean linked, boolean leaving, int queued, int running,
			int limit) {

	}

}
