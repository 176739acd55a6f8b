package io.lentilslip.runtime.log;

import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.identity.ProgramName;
import io.lentilslip.core.ledger.EndReason;
import io.lentilslip.core.ledger.LedgerRecord;

final class LedgerRecords {

	private LedgerRecords() {
	}

	static LedgerRecord ended(String program) {
		return new LedgerRecord.ProgramEnded(new ProgramId(new GroupName("sellers"), new ProgramName(program)),
				EndReason.BY_CALLER);
	}

}
