package io.lentilslip.core.notice;

import java.util.Objects;

/**
 * Immutable field of a notice. The value is untrusted and stored verbatim: writers have
 * to truncate and escape it for their output format. Safe for use by several threads.
 *
 * @param name the name of the field
 * @param value the value of the field
 */
public record NoticeField(FieldName name, String value) {

	/**
	 * Creates a field.
	 * @param name the name of the field
	 * @param value the value of the field
	 */
	public NoticeField {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(value, "value");
	}

}
