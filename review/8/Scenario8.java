package review2;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One request in 100 has a long body. One runner of three answers these before it has read
 * their bodies. Its answer has no length and ends with its connection, which is reset in
 * the middle of the answer. All its other answers are sound.
 */
final class Scenario8 {

	private static final int REQUESTS = 3000;

	private static final int LONG_ONE_IN = 100;

	private static final int BODY_BYTES = 4_000_000;

	private static final int ANSWER_BYTES = 4800;

	private Scenario8() {
	}

	public static void main(String[] arguments) {
		Site.play("review/8", 300, Scenario8::play);
	}

	private static Site.Verdict play(Site site) throws Exception {
		site.configure(1, Site.route("photo-check", "unsafe", "portal-app", ",\"MaxAttempts\":1"),
				Site.plain("portal-app"));
		List<Runner> runners = List.of(site.runner("i-app-1", "portal-app"), site.runner("i-app-2", "portal-app"),
				site.runner("i-app-3", "portal-app"));
		AtomicInteger cut = new AtomicInteger();
		AtomicInteger all = new AtomicInteger();
		for (Runner runner : runners) {
			runner.answering = Scenario8::soundly;
		}
		runners.getFirst().answering = (call) -> faulty(site, call, all, cut);
		Relay relay = site.relay("front-hala-tulcea-1", "hala-tulcea", true);
		relay.start();
		relay.awaitReady();
		Site.sleep(4000);

		byte[] longBody = new byte[BODY_BYTES];
		Arrays.fill(longBody, (byte) 'x');
		byte[] usual = Arrays.copyOf(longBody, 600);
		int mixed = 0;
		try (Caller caller = new Caller(site, relay)) {
			for (int request = 0; request < REQUESTS; request++) {
				String id = "p" + request;
				boolean ofLength = request % LONG_ONE_IN == LONG_ONE_IN - 1;
				// The usual requests are left out of the record, but for those that are mixed.
				site.record.quiet = !ofLength;
				Caller.Answer answer = caller.call("POST", "/photo-check/2f", id, Map.of(), ofLength ? longBody : usual, 3000);
				boolean whole = Arrays.equals(answer.body(), answerTo(id));
				if (answer.status() == 200 && answer.complete() && !whole) {
					mixed++;
					site.record.add("result   " + id + " was answered with a success that looks complete and has "
							+ answer.body().length + " of " + ANSWER_BYTES + " bytes");
				}
			}
		}
		site.record.add("result   " + mixed + " of " + REQUESTS
				+ " requests got a success with a body that isn't the runner's whole body; " + cut.get() + " of " + all.get()
				+ " answers of " + runners.getFirst().id + " were cut");
		return (mixed > 0) ? Site.Verdict.BROKEN : Site.Verdict.HELD;
	}

	private static byte[] answerTo(String id) {
		return Wire.bytes(Runner.Call.data(id, 1, ANSWER_BYTES));
	}

	private static boolean soundly(Runner.Call call) throws IOException {
		call.run(call.body());
		call.respond(200, answerTo(call.requestId()));
		return true;
	}

	private static boolean faulty(Site site, Runner.Call call, AtomicInteger all, AtomicInteger cut) throws IOException {
		all.incrementAndGet();
		if (Integer.parseInt(call.head.get("Content-Length", "0")) < BODY_BYTES) {
			return soundly(call);
		}
		byte[] answer = answerTo(call.requestId());
		ByteArrayOutputStream first = new ByteArrayOutputStream();
		first.writeBytes(Wire.bytes("HTTP/1.1 200 OK\r\n" + call.stamp() + "Connection: close\r\n\r\n"));
		first.write(answer, 0, answer.length / 2);
		site.record.add("runner   " + call.runner.id + " answers " + call.requestId() + " early, without a length");
		call.send(first.toByteArray());
		Site.sleep(150);
		if (site.trouble) {
			cut.incrementAndGet();
			site.record.add("runner   the connection of " + call.requestId() + " is reset after half of the answer");
			call.socket.setSoLinger(true, 0);
			call.socket.close();
			return false;
		}
		call.run(call.body());
		call.send(Arrays.copyOfRange(answer, answer.length / 2, answer.length));
		return false;
	}

}
