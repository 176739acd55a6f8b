package io.lentilslip.sidecar.upstream;

import java.util.Optional;

import io.lentilslip.client.engine.EngineFailure;
import io.lentilslip.core.sidecar.RunResult;
import io.lentilslip.core.verdict.Verdict;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EngineRunsTests {

	// The engine refuses the request as it is. No other engine would take it, so the
	// caller is told the refusal instead of an attempt elsewhere.
	@Test
	void refusalOfTheRequestIsFinal() {
		assertThat(EngineRuns.result(failure(Verdict.NOT_RUN, new EngineFailure.Cause.Rejected(422, "too long"))))
			.isEqualTo(new RunResult.Rejected(422, "too long"));
	}

	// The engine itself is in trouble, or an earlier attempt may have run: neither is a
	// refusal, which would be told to the caller as "not run".
	@Test
	void errorOfTheEngineIsNoRefusal() {
		assertThat(EngineRuns.result(failure(Verdict.NOT_RUN, new EngineFailure.Cause.Rejected(503, "busy"))))
			.isEqualTo(new RunResult.Failed(Verdict.NOT_RUN, "status 503", false));
		assertThat(EngineRuns.result(failure(Verdict.MAY_HAVE_RUN, new EngineFailure.Cause.Rejected(422, "no"))))
			.isEqualTo(new RunResult.Failed(Verdict.MAY_HAVE_RUN, "status 422", false));
	}

	// Only an answer that broke off counts as a crash: a crash is blamed on the request,
	// and a silent or cancelled one is not its fault.
	@Test
	void onlyABrokenAnswerCountsAsACrash() {
		assertThat(crashed(new EngineFailure.Cause.Broken("reset"))).isTrue();
		assertThat(crashed(new EngineFailure.Cause.Timeout("silent"))).isFalse();
		assertThat(crashed(new EngineFailure.Cause.Cancelled())).isFalse();
	}

	// The caller sends the answer back with its next call, and the entry sorts the fields
	// of what callers send. The home compares the texts: they have to be the same.
	@Test
	void answerHasTheFormOfMessagesThatCallersSend() {
		assertThat(EngineRuns.message("good day", Optional.empty()))
			.isEqualTo("{\"content\":\"good day\",\"role\":\"assistant\"}");
		assertThat(EngineRuns.message("", Optional.of("[{\"type\":\"function\",\"id\":\"c\"}]")))
			.isEqualTo("{\"role\":\"assistant\",\"tool_calls\":[{\"id\":\"c\",\"type\":\"function\"}]}");
	}

	private static boolean crashed(EngineFailure.Cause cause) {
		return ((RunResult.Failed) EngineRuns.result(failure(Verdict.MAY_HAVE_RUN, cause))).crashed();
	}

	private static EngineFailure failure(Verdict verdict, EngineFailure.Cause cause) {
		return new EngineFailure(verdict, cause);
	}

}
