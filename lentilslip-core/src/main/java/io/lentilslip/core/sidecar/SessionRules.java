package io.lentilslip.core.sidecar;

import java.time.Duration;

import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.notice.FieldName;
import io.lentilslip.core.notice.NoticeCode;
import io.lentilslip.core.sidecar.SidecarState.SessionPhase;

/**
 * Tracks the engine cache held for programs and releases it. Confined to one application
 * of the reducer.
 */
final class SessionRules {

	private static final Duration RELEASE_RETRY_DELAY = Duration.ofSeconds(1);

	private final StateBuilder builder;

	SessionRules(StateBuilder builder) {
		this.builder = builder;
	}

	void markHeld(ProgramId program) {
		this.builder.sessions = this.builder.sessions.put(program, SessionPhase.HELD);
	}

	/**
	 * Requests the engine to release the cache of a program. If the response is lost, the
	 * request is retried; if the engine stays unreachable, its lease on the cache
	 * expires.
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
