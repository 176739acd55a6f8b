package io.lentilslip.standin.engine;

import java.util.List;

/**
 * A call of a tool that the engine asks for. Immutable and safe for use by several
 * threads.
 *
 * @param name the tool's name
 * @param arguments the arguments as JSON text
 */
public record ToolCall(String name, String arguments) {

	/**
	 * Returns the tokens that the call takes in the engine.
	 * @return the tokens
	 */
	List<String> tokens() {
		return EngineTokens.split(this.name + " " + this.arguments);
	}

}
