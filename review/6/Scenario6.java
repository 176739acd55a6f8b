package review2;

import java.util.ArrayList;
import java.util.List;

/**
 * A relay without kept turns for a while ends one, and is then stopped and started as in a
 * rolling restart. Another relay that appends to the same partition of texts has been busy
 * meanwhile.
 */
final class Scenario6 {

	private static final String LINE = "buyer-chat";

	private static final int TURNS_ELSEWHERE = 300;

	private static final int INPUT_BYTES = 17_000;

	private Scenario6() {
	}

	public static void main(String[] arguments) {
		Site.play("review/6", 300, Scenario6::play);
	}

	private static Site.Verdict play(Site site) throws Exception {
		site.configure(1, Site.route(LINE, "streaming", "asistent-llm",
				",\"MaxAttempts\":2,\"Retain\":true,\"RetentionS\":60.0,\"Sticky\":true,\"Resumable\":false,\"GapAimMs\":400"),
				Site.engine("asistent-llm"));
		Runner runner = site.runner("i-llm-1", "asistent-llm");
		site.runner("i-llm-2", "asistent-llm");
		runner.pauseMs = 1;
		Relay quiet = site.relay("front-hala-tulcea-1", "hala-tulcea", true);
		Relay busy = site.relay("front-hala-galati-1", "hala-galati", true);
		Relay third = site.relay("front-hala-constanta-1", "hala-constanta", true);
		for (Relay relay : List.of(quiet, busy, third)) {
			relay.start();
		}
		for (Relay relay : List.of(quiet, busy, third)) {
			relay.awaitReady();
		}
		Site.sleep(4000);

		// Conversations at the busy relay, one turn after the other.
		Caller elsewhere = new Caller(site, busy);
		String previous = "";
		for (int turn = 0; turn < TURNS_ELSEWHERE; turn++) {
			previous = (turn % 7 == 0) ? "" : previous;
			Caller.Answer answer = turn(elsewhere, "other-" + turn / 7, "o" + turn, previous, INPUT_BYTES);
			if (!answer.whole()) {
				throw new IllegalStateException("a turn at the busy relay failed before the disruption");
			}
			previous = answer.id();
		}

		// A conversation at the quiet relay: two turns, both answered whole.
		Caller caller = new Caller(site, quiet);
		Caller.Answer first = turn(caller, "conversation", "t1", "", INPUT_BYTES);
		Caller.Answer second = turn(caller, "conversation", "t2", "t1", INPUT_BYTES);
		if (!first.whole() || !second.whole()) {
			throw new IllegalStateException("a turn at the quiet relay failed before the disruption");
		}
		long answered = System.nanoTime();
		Site.sleep(1000);

		if (site.trouble) {
			quiet.terminate();
			quiet.start();
			quiet.awaitReady();
			Site.sleep(4000);
		}

		// The conversation goes on at the relays that nothing has happened to, and at the
		// restarted one; new programs begin beside it.
		int tries = 0;
		int reached = 0;
		int firstTurns = 0;
		int firstTurnsReached = 0;
		List<Caller> callers = new ArrayList<>();
		for (Relay relay : List.of(third, busy, quiet)) {
			callers.add(new Caller(site, relay));
		}
		for (int attempt = 0; attempt < 15; attempt++) {
			Caller at = callers.get(attempt % 3);
			Caller.Answer fresh = turn(at, "new-" + attempt, "n" + attempt, "", INPUT_BYTES);
			firstTurns++;
			firstTurnsReached += site.ran(fresh.id()) ? 1 : 0;
			Caller.Answer next = turn(at, "conversation", "t3-" + attempt, "t2", INPUT_BYTES);
			tries++;
			reached += site.ran(next.id()) ? 1 : 0;
			if (reached > 0) {
				break;
			}
			Site.sleep(300);
		}
		double seconds = (System.nanoTime() - answered) / 1e9;
		site.record.add("result   t2 was answered whole " + String.format("%.1f", seconds)
				+ " s ago (RetentionS 60); turns that name it: " + tries + ", of which " + reached
				+ " reached a runner; first turns beside them: " + firstTurns + ", of which " + firstTurnsReached
				+ " reached one");
		boolean lost = reached == 0 && tries >= 5 && firstTurnsReached >= 0.9 * firstTurns && seconds < 60;
		return lost ? Site.Verdict.BROKEN : Site.Verdict.HELD;
	}

	private static Caller.Answer turn(Caller caller, String program, String id, String previous, int bytes) {
		byte[] body = Wire.bytes(Runner.Call.data("input-" + id, 0, bytes));
		return caller.call("POST", "/" + LINE + "/4b", id, Caller.turn(program, 1_000_000, 592, previous, 60_000), body, 4000);
	}

}
