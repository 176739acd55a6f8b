package io.lentilslip.verification.process;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A call of the site's model. Immutable.
 *
 * @param messages the messages in JSON
 * @param headers the headers that name program, number and key
 */
public record ChatCall(List<String> messages, Map<String, String> headers) {

	/**
	 * Returns a call with one message of the user.
	 * @param text the text
	 * @return the call
	 */
	public static ChatCall of(String text) {
		return new ChatCall(List.of(), Map.of()).then("user", text);
	}

	/**
	 * Returns this call with a further message.
	 * @param role the role of who speaks
	 * @param text the text
	 * @return the call
	 */
	public ChatCall then(String role, String text) {
		ObjectNode message = JsonNodeFactory.instance.objectNode().put("role", role).put("content", text);
		List<String> all = new ArrayList<>(this.messages);
		all.add(message.toString());
		return new ChatCall(all, this.headers);
	}

	/**
	 * Returns this call as a turn of a program whose history the system keeps.
	 * @param program the program
	 * @param number the number of the call
	 * @return the call
	 */
	public ChatCall turn(String program, int number) {
		return with("Lentilslip-Program", program).with("Lentilslip-Call", Integer.toString(number))
			.with("Lentilslip-History", "new");
	}

	/**
	 * Returns this call with an idempotency key.
	 * @param key the key
	 * @return the call
	 */
	public ChatCall keyed(String key) {
		return with("Idempotency-Key", key);
	}

	private ChatCall with(String name, String value) {
		Map<String, String> all = new LinkedHashMap<>(this.headers);
		all.put(name, value);
		return new ChatCall(this.messages, all);
	}

	String body(boolean stream) {
		return "{\"model\":\"" + Site.MODEL + "\",\"stream\":" + stream + ",\"messages\":["
				+ String.join(",", this.messages) + "]}";
	}

}
