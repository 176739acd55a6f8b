package io.lentilslip.standin.engine;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The models, adapters and role of an engine, and the orders that change them. Where
 * fencing numbers are checked, the highest one seen never goes back and an order with a
 * lower one changes nothing. Not safe for use by several threads.
 */
final class OrderBook {

	private static final int MAXIMUM_MODELS = 64;

	private final FencingPolicy policy;

	private final Map<String, String> versions = new TreeMap<>();

	private final Set<String> adapters = new TreeSet<>();

	private String role = "mixed";

	private long highestFencing;

	private long applied;

	/**
	 * Creates an order book with one model.
	 * @param policy whether fencing numbers are checked
	 * @param model the model that is loaded at the start
	 */
	OrderBook(FencingPolicy policy, String model) {
		this.policy = policy;
		this.versions.put(model, "");
	}

	/**
	 * Carries out an order unless its fencing number is old.
	 * @param order the order
	 * @return whether it was carried out
	 * @throws RejectedRequestException if it does not keep to the protocol
	 */
	boolean apply(JsonNode order) {
		JsonNode fencing = order.path("fencing");
		if (!fencing.canConvertToLong() || !fencing.isIntegralNumber()) {
			throw RejectedRequestException.invalid("fencing must be a whole number");
		}
		if (this.policy == FencingPolicy.CHECKED && fencing.longValue() < this.highestFencing) {
			return false;
		}
		change(order);
		this.highestFencing = Math.max(this.highestFencing, fencing.longValue());
		this.applied++;
		return true;
	}

	private void change(JsonNode order) {
		switch (order.path("order").asText()) {
			case "load" -> load(text(order, "model"), order.path("version").asText());
			case "unload" -> this.versions.remove(text(order, "model"));
			case "adapter" -> adapter(text(order, "model") + ":" + text(order, "adapter"));
			case "role" -> this.role = text(order, "role");
			default -> throw RejectedRequestException.invalid("order must be load, unload, adapter or role");
		}
	}

	private void load(String model, String version) {
		if (this.versions.size() >= MAXIMUM_MODELS && !this.versions.containsKey(model)) {
			throw RejectedRequestException.invalid("an engine loads at most " + MAXIMUM_MODELS + " models");
		}
		this.versions.put(model, version);
	}

	private void adapter(String adapter) {
		if (this.adapters.size() >= MAXIMUM_MODELS && !this.adapters.contains(adapter)) {
			throw RejectedRequestException.invalid("an engine loads at most " + MAXIMUM_MODELS + " adapters");
		}
		this.adapters.add(adapter);
	}

	private static String text(JsonNode order, String field) {
		String text = order.path(field).asText();
		if (text.isEmpty() || text.length() > 256) {
			throw RejectedRequestException.invalid(field + " must be a text of 1 to 256 characters");
		}
		return text;
	}

	/**
	 * Returns the loaded models.
	 * @return the version, perhaps empty, of each model by its name
	 */
	Map<String, String> versions() {
		return Map.copyOf(this.versions);
	}

	/**
	 * Returns whether a model is loaded.
	 * @param model the model's name
	 * @return whether requests for it are taken
	 */
	boolean serves(String model) {
		return this.versions.containsKey(model);
	}

	/**
	 * Returns the loaded adapters.
	 * @return each adapter as {@code model:adapter}
	 */
	Set<String> adapters() {
		return Set.copyOf(this.adapters);
	}

	/**
	 * Returns the engine's role.
	 * @return the role's name
	 */
	String role() {
		return this.role;
	}

	/**
	 * Returns the highest fencing number of an order that was carried out.
	 * @return the number, 0 before the first order
	 */
	long highestFencing() {
		return this.highestFencing;
	}

	/**
	 * Returns how many orders were carried out.
	 * @return the number of orders
	 */
	long applied() {
		return this.applied;
	}

}
