package io.lentilslip.client.weight;

import java.util.Objects;
import java.util.regex.Pattern;

import io.lentilslip.core.identity.ModelName;

/**
 * A version of a model's weights. Immutable and safe for use by several threads.
 *
 * @param model the model
 * @param version the text of the version
 */
public record WeightVersion(ModelName model, String version) {

	/**
	 * The most characters the text of a version may have.
	 */
	public static final int MAXIMUM_LENGTH = 64;

	private static final Pattern ALLOWED = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]*");

	/**
	 * Creates a version.
	 * @param model the model
	 * @param version the text of the version
	 * @throws IllegalArgumentException if the text is not allowed
	 */
	public WeightVersion {
		Objects.requireNonNull(model, "model");
		Objects.requireNonNull(version, "version");
		if (version.length() > MAXIMUM_LENGTH || !ALLOWED.matcher(version).matches()) {
			throw new IllegalArgumentException("not a valid version: " + version);
		}
	}

	@Override
	public String toString() {
		return this.model + "@" + this.version;
	}

}
