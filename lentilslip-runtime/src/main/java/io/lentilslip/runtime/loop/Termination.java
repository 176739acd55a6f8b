package io.lentilslip.runtime.loop;

import java.util.List;
import java.util.function.Consumer;

import io.lentilslip.core.notice.FieldName;
import io.lentilslip.core.notice.Notice;
import io.lentilslip.core.notice.NoticeCode;

/**
 * What is done once a loop can't go on. Implementations are safe for use by several
 * threads.
 */
@FunctionalInterface
public interface Termination {

	/**
	 * Acts on a failure after which the state of the loop can't be trusted.
	 * @param cause the failure
	 */
	void terminate(Throwable cause);

	/**
	 * Ends the process at once, after the failure was reported. An ordinary exit would
	 * run the hook that drains through the loop that has just failed, and hang; the
	 * supervisor of the VM starts another life, and peers treat this one as crashed.
	 */
	final class ForProcess implements Termination {

		/**
		 * The exit status: "internal software error" among the system's exit codes.
		 */
		public static final int STATUS = 70;

		private final Consumer<Notice> notices;

		/**
		 * Creates a termination of this process.
		 * @param notices where the failure is reported
		 */
		public ForProcess(Consumer<Notice> notices) {
			this.notices = notices;
		}

		@Override
		public void terminate(Throwable cause) {
			try {
				this.notices.accept(report(cause));
			}
			finally {
				Runtime.getRuntime().halt(STATUS);
			}
		}

		/**
		 * Returns the notice of a failure.
		 * @param cause the failure
		 * @return the notice
		 */
		static Notice report(Throwable cause) {
			StackTraceElement[] trace = cause.getStackTrace();
			String place = (trace.length > 0) ? " at " + trace[0] : "";
			return new Notice(NoticeCode.PROCESS_FAILED, List.of()).with(FieldName.REASON, cause + place);
		}

	}

}
