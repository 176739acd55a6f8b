package io.lentilslip.core.sidecar;

import java.time.Duration;

import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.notice.FieldName;
import io.lentilslip.core.notice.NoticeCode;
import io.lentilslip.core.sidecar.SidecarState.SessionPhase;

/**
 * The rules by which engine memory held for programs goes back. Confined to one
 * application of the reducer.
 */
final class SessionRules {

	private static final Duration PAUSE_BEFORE_RELEASE_AGAIN = Duration.ofSeconds(1);

	private final Draft draft;

	SessionRules(Draft draft) {
		this.draft = draft;
	}

	void hold(ProgramId program) {
		this.draft.sessions = this.draft.sessions.put(program, SessionPhase.HELD);
	}

	/**
	 * Has the engine release what it holds for a program. An answer that gets lost only
	 * repeats the wish; if the engine is never reached again, its own lease ends the
	 * hold.
	 * @param program the program
	 */
	void release(ProgramId program) {
		if (!this.draft.sessions.containsKey(program)) {
			return;
		}
		this.draft.sessions = this.draft.sessions.put(program, SessionPhase.RELEASING);
		this.draft.run(new SidecarEffect.ReleaseSession(program));
	}

	void released(ProgramId program) {
		if (!isReleasing(program)) {
			return;
		}
		this.draft.sessions = this.draft.sessions.remove(program);
		this.draft.report(NoticeCode.KV_RELEASED.with(FieldName.PROGRAM, program));
	}

	void notReleased(ProgramId program) {
		if (isReleasing(program)) {
			this.draft.remind(PAUSE_BEFORE_RELEASE_AGAIN, new Duty.ReleaseAgain(program));
		}
	}

	void releaseAgain(ProgramId program) {
		if (isReleasing(program)) {
			release(program);
		}
	}

	private boolean isReleasing(ProgramId program) {
		return this.draft.sessions.get(program).contains(SessionPhase.RELEASING);
	}

}
