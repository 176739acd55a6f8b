package io.lentilslip.wire.codec;

import java.util.EnumMap;
import java.util.Map;

/**
 * A mapping between the constants of an enum and those of its generated counterpart,
 * which bear the same names behind a prefix. All constants are looked up at once, so that
 * a constant without a counterpart shows itself at the first use of the class and not
 * with the first message that holds it. Immutable and safe for use by several threads.
 *
 * @param <V> the enum of values
 * @param <G> the generated enum
 */
final class EnumMapping<V extends Enum<V>, G extends Enum<G>> {

	/**
	 * The generated constant that stands for all that a later version may have added.
	 */
	private static final String UNRECOGNIZED = "UNRECOGNIZED";

	private final Map<V, G> toGenerated;

	private final Map<G, V> toValue;

	private EnumMapping(Map<V, G> toGenerated, Map<G, V> toValue) {
		this.toGenerated = toGenerated;
		this.toValue = toValue;
	}

	/**
	 * Creates a mapping.
	 * @param values the enum of values
	 * @param generated the generated enum
	 * @param prefix what the generated names begin with
	 * @param <V> the enum of values
	 * @param <G> the generated enum
	 * @return the mapping
	 */
	static <V extends Enum<V>, G extends Enum<G>> EnumMapping<V, G> between(Class<V> values, Class<G> generated,
			String prefix) {
		Map<V, G> toGenerated = new EnumMap<>(values);
		Map<G, V> toValue = new EnumMap<>(generated);
		for (V value : values.getEnumConstants()) {
			G counterpart = Enum.valueOf(generated, prefix + value.name());
			toGenerated.put(value, counterpart);
			toValue.put(counterpart, value);
		}
		return new EnumMapping<>(toGenerated, toValue);
	}

	/**
	 * Returns the generated counterpart of a value.
	 * @param value the value
	 * @return the generated constant
	 */
	G write(V value) {
		return this.toGenerated.get(value);
	}

	/**
	 * Returns the value of a generated constant that was read.
	 * @param constant the generated constant
	 * @param field the name of the field
	 * @param version the version that the sender's program writes
	 * @return the value
	 */
	V read(G constant, String field, int version) {
		if (constant.name().equals(UNRECOGNIZED)) {
			throw Fields.unknownKind(field, version);
		}
		V value = this.toValue.get(constant);
		Fields.require(value != null, field);
		return value;
	}

}
