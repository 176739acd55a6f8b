package io.lentilslip.core.model;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.lentilslip.core.call.Body;
import io.lentilslip.core.call.CallResponse;
import io.lentilslip.core.call.Usage;
import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.Incarnation;
import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.sidecar.RunId;
import io.lentilslip.core.sidecar.RunResult;
import io.lentilslip.core.sidecar.SidecarEffect;
import io.lentilslip.core.sidecar.SidecarEvent;
import io.lentilslip.core.verdict.Verdict;

/**
 * An engine or a plain service. An engine's text ends with the digest of the conversation
 * it was given, and its middle differs with every run, so that neither a mixed history
 * nor a text of two runs can pass unseen.
 */
final class FakeUpstream {

	final Map<ProgramId, Session> sessions = new HashMap<>();

	private final Map<RunId, Run> runs = new LinkedHashMap<>();

	private final Requests requests;

	long instance = 1;

	boolean up = true;

	FakeUpstream(Requests requests) {
		this.requests = requests;
	}

	static String textOf(CallResponse.FromModel answer) {
		return textOf(answer.message());
	}

	static String textOf(String message) {
		return message.substring(message.indexOf('<') + 1, message.indexOf('>'));
	}

	static String endOf(List<String> conversation) {
		Digest digest = Digest.EMPTY;
		for (String message : conversation) {
			digest = digest.then(Digest.of(message));
		}
		return "#" + digest.hex().substring(0, 8);
	}

	boolean hasWork() {
		return !this.runs.isEmpty();
	}

	int size() {
		return this.runs.size();
	}

	void generate(SidecarEffect.Generate effect, Incarnation life, Instant now) {
		List<String> messages = effect.request().messages();
		String request = messages.getLast();
		int run = this.requests.nextRun();
		String rest = ":r" + run + endOf(messages);
		Deque<String> parts = new ArrayDeque<>(
				List.of(rest.substring(0, 2), rest.substring(2, rest.length() - 3), rest.substring(rest.length() - 3)));
		String whole = effect.request().prefix() + rest;
		Hold hold = new Hold(effect.request().session(), new Session(life, now.plus(effect.request().cacheLease())));
		this.runs.put(effect.run(), new Run(request, parts, "{\"content\":\"<" + whole + ">\"}", true, hold, !this.up));
		if (this.up) {
			hold(hold);
			this.requests.generated(messages);
		}
	}

	// An engine keeps the cache of a session when a request begins and when it ends.
	private void hold(Hold hold) {
		hold.program().ifPresent((program) -> this.sessions.put(program, hold.session()));
	}

	void serve(SidecarEffect.CallService effect) {
		this.runs.put(effect.run(), new Run(effect.message().path(), new ArrayDeque<>(), "", false,
				new Hold(Optional.empty(), null), !this.up));
		if (this.up) {
			this.requests.ran(effect.message().path());
		}
	}

	Optional<SidecarEvent> step(int choice, Instant now) {
		if (this.runs.isEmpty()) {
			return Optional.empty();
		}
		RunId id = this.runs.keySet().stream().skip(choice % this.runs.size()).findFirst().orElseThrow();
		Run run = this.runs.get(id);
		if (run.refused() || !this.up) {
			this.runs.remove(id);
			Verdict verdict = (run.refused()) ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
			return Optional.of(new SidecarEvent.RunEnded(id, new RunResult.Failed(verdict, "cut", false), now));
		}
		if (!run.parts().isEmpty()) {
			return Optional.of(new SidecarEvent.RunProgressed(id, run.parts().remove(), now));
		}
		this.runs.remove(id);
		hold(run.hold());
		RunResult result = run.engine() ? new RunResult.Generated(run.answer(), "stop", new Usage(1, 0, 1))
				: new RunResult.Served(new CallResponse.FromService(200, List.of(), Body.of(run.request())));
		return Optional.of(new SidecarEvent.RunEnded(id, result, now));
	}

	Optional<SidecarEvent> cancel(RunId id, Instant now) {
		Run run = this.runs.remove(id);
		if (run == null) {
			return Optional.empty();
		}
		hold(run.hold());
		return Optional
			.of(new SidecarEvent.RunEnded(id, new RunResult.Failed(Verdict.MAY_HAVE_RUN, "cancelled", false), now));
	}

	List<SidecarEvent> crash(Instant now) {
		List<SidecarEvent> ended = this.runs.keySet()
			.stream()
			.<SidecarEvent>map((id) -> new SidecarEvent.RunEnded(id,
					new RunResult.Failed(Verdict.MAY_HAVE_RUN, "crashed", true), now))
			.toList();
		this.runs.clear();
		this.sessions.clear();
		this.instance++;
		return ended;
	}

	void forgetRuns() {
		this.runs.clear();
	}

	void expire(Instant now) {
		for (Iterator<Session> each = this.sessions.values().iterator(); each.hasNext();) {
			if (!each.next().until().isAfter(now)) {
				each.remove();
			}
		}
	}

	record Session(Incarnation owner, Instant until) {

	}

	private record Hold(Optional<ProgramId> program, Session session) {

	}

	private record Run(String request, Deque<String> parts, String answer, boolean engine, Hold hold, boolean refused) {

	}

}
