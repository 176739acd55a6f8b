package io.lentilslip.core.ledger;

import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.identity.IdempotencyKey;
import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.identity.ServiceName;

/**
 * Immutable identity of a call across its retries. Keys of different kinds are never
 * equal. Safe for use by several threads.
 */
public sealed interface CallKey {

	/**
	 * Returns the group that the key belongs to.
	 * @return the group
	 */
	GroupName group();

	/**
	 * A key that the caller chose, unique within its group.
	 *
	 * @param group the group
	 * @param key the key
	 */
	record ForIdempotencyKey(GroupName group, IdempotencyKey key) implements CallKey {

	}

	/**
	 * The number of a service call within its program.
	 *
	 * @param program the program
	 * @param service the service
	 * @param number the number
	 */
	record ForProgramCall(ProgramId program, ServiceName service, int number) implements CallKey {

		@Override
		public GroupName group() {
			return this.program.group();
		}

	}

}
