package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.UUID;

/**
 * Names and requests of a small site, as its operator and its clients send them.
 */
final class Site {

	static final String HOST = "ficu95.example";

	static final String ENGINE = "huvo11a";

	static final String PLAIN = "wuno96b";

	/**
	 * The tokens that an event counts as.
	 */
	static final int STRIDE = 15;

	private Site() {
	}

	/**
	 * Returns a configuration: a kept route of turns, a route of turns that are not kept
	 * and may be resumed, and routes of plain requests.
	 */
	static String config(long version, boolean keptMayBeResumed) {
		return """
				{"Version":%d,"Routes":[
				{"Name":"r-kept","Host":"%s","PathPrefix":"/kept/","Kind":"streaming","TimeoutMs":4000,"TargetLatencyMs":200,"Priority":0,"Service":"%s","MaxAttempts":2,"Retain":true,"RetentionS":60.0,"Sticky":true,"Resumable":%s,"GapAimMs":400},
				{"Name":"r-draft","Host":"%s","PathPrefix":"/draft/","Kind":"streaming","TimeoutMs":4000,"TargetLatencyMs":200,"Priority":1,"Service":"%s","MaxAttempts":2,"Retain":false,"RetentionS":60.0,"Sticky":true,"Resumable":true,"GapAimMs":400},
				{"Name":"r-safe","Host":"%s","PathPrefix":"/safe/","Kind":"safe","TimeoutMs":1200,"TargetLatencyMs":120,"Priority":2,"Service":"%s","MaxAttempts":2},
				{"Name":"r-unsafe","Host":"%s","PathPrefix":"/unsafe/","Kind":"unsafe","TimeoutMs":3000,"TargetLatencyMs":400,"Priority":2,"Service":"%s","MaxAttempts":2}],
				"Services":[{"Name":"%s","HealthPath":"/healthz","MaxConns":370,"Protocol":"h1","Tls":false,"Engine":{"Slots":64,"KvCapacity":1049888,"KvTokenBytes":18432,"LinkMbps":1500000.0,"Moves":true,"Backups":true,"Stride":15,"most":12,"PinMs":4000.0,"HoldMs":2000.0,"handle_s":5.0,"Models":[{"Name":"m"}]}},
				{"Name":"%s","HealthPath":"/healthz","MaxConns":110,"Protocol":"h1","Tls":false}],
				"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}
				"""
			.formatted(version, HOST, ENGINE, keptMayBeResumed, HOST, ENGINE, HOST, PLAIN, HOST, PLAIN, ENGINE, PLAIN);
	}

	static String id() {
		return UUID.randomUUID().toString().replace("-", "").substring(0, 16);
	}

	static byte[] text(String label, int bytes) {
		byte[] text = new byte[bytes];
		byte[] unit = (label + " ").getBytes(StandardCharsets.ISO_8859_1);
		for (int i = 0; i < bytes; i++) {
			text[i] = unit[i % unit.length];
		}
		return text;
	}

	/**
	 * Returns the headers of a turn.
	 */
	static Map<String, String> turn(String id, String program, String previous, long budget, int promptTokens,
			int mostTokens) {
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put("Host", HOST);
		headers.put("X-Lentilslip-Request-Id", id);
		headers.put("X-Lentilslip-Program-Id", program);
		headers.put("X-Lentilslip-Session-Id", "s" + program);
		headers.put("X-Lentilslip-Finish-Ms", "60000");
		headers.put("X-Lentilslip-Token-Budget", Long.toString(budget));
		headers.put("X-Lentilslip-Token-Usage", promptTokens + "," + mostTokens);
		headers.put("X-Lentilslip-Deadline-Ms", "4000");
		if (!previous.isEmpty()) {
			headers.put("X-Lentilslip-Previous-Turn", previous);
		}
		return headers;
	}

	/**
	 * Sends a request on a new connection.
	 */
	static Web.Answer send(Record record, String who, Relays.Relay relay, String target, Map<String, String> headers,
			byte[] body) {
		String id = headers.get("X-Lentilslip-Request-Id");
		record.line("send", who + " sends " + id + " to " + relay.node + " " + target + " previous="
				+ headers.getOrDefault("X-Lentilslip-Previous-Turn", "") + " body=" + body.length + " bytes");
		Web.Answer answer;
		try (Web.Client client = new Web.Client(relay.front, 5000)) {
			answer = client.call("POST", target, headers, body);
		}
		catch (IOException ex) {
			answer = new Web.Answer(0, Map.of(), new byte[0], false, "not connected");
		}
		record.line("answer", who + " gets for " + id + ": " + answer.status() + (answer.complete() ? " whole" : " not whole")
				+ ((answer.status() == 200) ? " " + answer.events().size() + " events" : " " + answer.text()) + " "
				+ answer.error());
		return answer;
	}

}
