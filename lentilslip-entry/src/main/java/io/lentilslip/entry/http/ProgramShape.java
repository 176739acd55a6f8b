package io.lentilslip.entry.http;

import java.util.Locale;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.lentilslip.core.link.LinkMessage;

/**
 * The object by which callers see the state of a program. Safe for use by several
 * threads.
 */
final class ProgramShape {

	private ProgramShape() {
	}

	/**
	 * Returns the object of a state.
	 * @param view the state
	 * @return the object
	 */
	static ObjectNode of(LinkMessage.ProgramView view) {
		ObjectNode root = Json.object();
		root.put("id", view.program().name().value());
		root.put("object", "program");
		root.put("group", view.program().group().value());
		root.put("state", view.endReason().isPresent() ? "ended" : "open");
		root.put("end_reason", view.endReason().map((reason) -> reason.name().toLowerCase(Locale.ROOT)).orElse(null));
		root.put("epoch", view.epoch().value());
		root.put("last_call", view.lastCall());
		root.put("pending_turns", view.pendingTurns());
		ArrayNode messages = root.putArray("messages");
		for (String message : view.messages()) {
			Json.readObject(message).ifPresent(messages::add);
		}
		return root;
	}

}
