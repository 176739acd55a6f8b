package review2;

import java.util.ArrayList;
import java.util.List;

/**
 * A conversation lasts longer than the store keeps records. Then the relay that served it
 * is stopped and started as in a rolling restart.
 */
final class Scenario6 {

	private static final String LINE = "buyer-chat";

	private static final int STORE_RETENTION_S = 60;

	private static final int TURNS = 14;

	private static final int PAUSE_MS = 5000;

	private Scenario6() {
	}

	public static void main(String[] arguments) {
		Site.play("review/6", STORE_RETENTION_S, Scenario6::play);
	}

	private static Site.Verdict play(Site site) throws Exception {
		site.configure(1, Site.route(LINE, "streaming", "asistent-llm",
				",\"MaxAttempts\":2,\"Retain\":true,\"RetentionS\":60.0,\"Sticky\":true,\"Resumable\":false,\"GapAimMs\":400"),
				Site.engine("asistent-llm"));
		site.runner("i-llm-1", "asistent-llm");
		site.runner("i-llm-2", "asistent-llm");
		List<Relay> relays = List.of(site.relay("front-hala-tulcea-1", "hala-tulcea", true),
				site.relay("front-hala-galati-1", "hala-galati", true),
				site.relay("front-hala-constanta-1", "hala-constanta", true));
		for (Relay relay : relays) {
			relay.start();
		}
		for (Relay relay : relays) {
			relay.awaitReady();
		}
		Site.sleep(2000);

		Caller caller = new Caller(site, relays.getFirst());
		String previous = "";
		long answered = 0;
		for (int turn = 1; turn <= TURNS; turn++) {
			Caller.Answer answer = turn(caller, "conversation", "t" + turn, previous);
			if (!answer.whole()) {
				throw new IllegalStateException("a turn failed before the disruption");
			}
			previous = answer.id();
			answered = System.nanoTime();
			Site.sleep((turn < TURNS) ? PAUSE_MS : 500);
		}
		if (site.trouble) {
			relays.getFirst().terminate();
			relays.getFirst().start();
			relays.getFirst().awaitReady();
			Site.sleep(3500);
		}
		int tries = 0;
		int reached = 0;
		int fresh = 0;
		int freshReached = 0;
		List<Caller> callers = new ArrayList<>();
		relays.forEach((relay) -> callers.add(new Caller(site, relay)));
		for (int attempt = 0; attempt < 9 && reached == 0; attempt++) {
			Caller at = callers.get((attempt + 1) % 3);
			fresh++;
			freshReached += site.ran(turn(at, "new-" + attempt, "n" + attempt, "").id()) ? 1 : 0;
			tries++;
			reached += site.ran(turn(at, "conversation", "next-" + attempt, previous).id()) ? 1 : 0;
			Site.sleep(300);
		}
		double seconds = (System.nanoTime() - answered) / 1e9;
		site.record.add("result   " + previous + " was answered whole " + String.format("%.1f", seconds)
				+ " s ago (RetentionS 60); turns that name it: " + tries + ", of which " + reached
				+ " reached a runner; first turns beside them: " + fresh + ", of which " + freshReached + " reached one");
		boolean lost = reached == 0 && tries >= 5 && freshReached >= 0.9 * fresh && seconds < 60;
		return lost ? Site.Verdict.BROKEN : Site.Verdict.HELD;
	}

	private static Caller.Answer turn(Caller caller, String program, String id, String previous) {
		byte[] body = Wire.bytes(Runner.Call.data("input-" + id, 0, 17_000));
		return caller.call("POST", "/" + LINE + "/4b", id, Caller.turn(program, 1_000_000, 592, previous, 200_000), body, 4000);
	}

}
