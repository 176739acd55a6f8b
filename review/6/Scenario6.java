package review2;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;
import java.util.Map;

/**
 * A runner answers before it has read a long body. Its answer has no length and ends with
 * its connection, which is reset in the middle of the answer.
 */
final class Scenario6 {

	private static final int REQUESTS = 4;

	private static final int BODY_BYTES = 4_000_000;

	private static final int ANSWER_BYTES = 4800;

	private Scenario6() {
	}

	public static void main(String[] arguments) {
		Site.play("review/6", 300, Scenario6::play);
	}

	private static Site.Verdict play(Site site) throws Exception {
		site.configure(1, Site.route("photo-check", "unsafe", "portal-app", ",\"MaxAttempts\":1"),
				Site.plain("portal-app"));
		Runner runner = site.runner("i-app-1", "portal-app");
		runner.answering = (call) -> early(site, call);
		Relay relay = site.relay("front-hala-tulcea-1", "hala-tulcea", true);
		relay.start();
		relay.awaitReady();
		Site.sleep(4000);

		byte[] body = new byte[BODY_BYTES];
		Arrays.fill(body, (byte) 'x');
		int mixed = 0;
		for (int request = 0; request < REQUESTS; request++) {
			try (Caller caller = new Caller(site, relay)) {
				String id = "p" + request;
				Caller.Answer answer = caller.call("POST", "/photo-check/2f", id, Map.of(), body, 3000);
				boolean whole = Arrays.equals(answer.body(), answerTo(id));
				if (answer.status() == 200 && answer.complete() && !whole) {
					mixed++;
					site.record.add("result   " + id + " was answered with a success that looks complete and has "
							+ answer.body().length + " of " + ANSWER_BYTES + " bytes");
				}
			}
		}
		site.record.add("result   " + mixed + " of " + REQUESTS
				+ " requests got a success with a body that isn't the runner's whole body");
		return (mixed > 0) ? Site.Verdict.BROKEN : Site.Verdict.HELD;
	}

	private static byte[] answerTo(String id) {
		return Wire.bytes(Runner.Call.data(id, 1, ANSWER_BYTES));
	}

	private static boolean early(Site site, Runner.Call call) throws IOException {
		byte[] answer = answerTo(call.requestId());
		ByteArrayOutputStream first = new ByteArrayOutputStream();
		first.writeBytes(Wire.bytes("HTTP/1.1 200 OK\r\n" + call.stamp() + "Connection: close\r\n\r\n"));
		first.write(answer, 0, answer.length / 2);
		site.record.add("runner   answers " + call.requestId() + " early, without a length");
		call.send(first.toByteArray());
		Site.sleep(150);
		if (site.trouble) {
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
