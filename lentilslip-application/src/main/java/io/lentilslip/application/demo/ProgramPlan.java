package io.lentilslip.application.demo;

import java.util.Optional;

import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.identity.ModelName;

/**
 * What one program of the demonstration does. Immutable and safe for use by several
 * threads.
 *
 * @param name the name of the program
 * @param group the group that it should be charged to
 * @param key the key of its caller
 * @param model the model that it calls
 * @param toolPath the call of a plain service that it makes once, below
 * {@code /v1/services/}
 * @param keepsHistory whether the caller sends the whole conversation with each call, or
 * else leaves it to the system
 * @param subAgent the program's sub-agent, if it has one
 * @param shown whether its streamed text is shown
 */
record ProgramPlan(String name, GroupName group, String key, ModelName model, String toolPath, boolean keepsHistory,
		Optional<String> subAgent, boolean shown) {

	private static final String BUYERS_KEY = "barca-buyers-demo";

	private static final String SELLERS_KEY = "barca-sellers-demo";

	/**
	 * Returns a conversation with a buyer, which asks for a price and lets a sub-agent
	 * look at photos.
	 * @param number tells it from others
	 * @return the plan
	 */
	static ProgramPlan ofBuyer(int number) {
		String name = "buyer-" + number;
		return new ProgramPlan(name, new GroupName("buyers"), BUYERS_KEY, new ModelName("barca-assistant"),
				"prices/answers", true, Optional.of(name + "-photos"), number == 1);
	}

	/**
	 * Returns the draft of a listing, which leaves its history to the system.
	 * @param number tells it from others
	 * @return the plan
	 */
	static ProgramPlan ofDraft(int number) {
		return new ProgramPlan("draft-" + number, new GroupName("sellers"), SELLERS_KEY, new ModelName("barca-writer"),
				"listings/drafts", false, Optional.empty(), false);
	}

	/**
	 * Returns the text that every conversation of the group begins with. It is long
	 * enough to fill blocks of the engines' cache, as the instructions of real assistants
	 * do.
	 * @return the text
	 */
	String instructions() {
		return ("You work at the " + this.group + " desk of a dealer in used boats between the coast and the delta. "
				+ "Say what the boat is, what it was used for, what was repaired and what still needs work. "
				+ "Never name a price that the price service did not give, never promise a day of delivery, "
				+ "and ask when something that matters is not known. ")
			.repeat(3)
			.strip();
	}

	/**
	 * Returns the key that marks resends of the program's call of a plain service.
	 * @return the key
	 */
	String toolKey() {
		return this.name + "-tool";
	}

}
