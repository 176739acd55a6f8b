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

	private static final Duration RELEASE_RETRY_DELAY = Duration.ofSeconds(1);

	private final StateBuilder builder;

	SessionRules(StateBuilder draft) {
		this.builder = draft;
	}

	void markHeld(ProgramId program) {
		this.builder.sessions = this.builder.sessions.put(program, SessionPhase.HELD);
	}

	/**
	 * Has the engine release what it holds for a program. An answer that gets lost only
	 * repeats the wish; if the engine is never reached again, its own lease ends the
	 * hold.
	 * @param program the program
	 */
	void release(ProgramId program) {
		if (!this.builder.sessions.containsKey(program)) {
			return;
		}
		this.builder.sessions = this.builder.sessions.put(program, SessionPhase.RELEASING);
		this.builder.emit(new SidecarEffect.ReleaseSession(program));
	}

	void released(ProgramId program) {
		if (!isReleasing(program)) {
			return;
		}
		this.builder.sessions = this.builder.sessions.remove(program);
		this.builder.report(NoticeCode.KV_RELEASED.with(FieldName.PROGRAM, program));
	}

	void releaseFailed(ProgramId program) {
		if (isReleasing(program)) {
			this.builder.schedule(RELEASE_RETRY_DELAY, new SidecarTimer.SessionReleaseRetry(program));
		}
	}

	void retryRelease(ProgramId program) {
		if (isReleasing(program)) {
			release(program);
		}
	}

	private boolean isReleasing(ProgramId program) {
		return this.builder.sessions.get(program).contains(SessionPhase.RELEASING);
	}

}
