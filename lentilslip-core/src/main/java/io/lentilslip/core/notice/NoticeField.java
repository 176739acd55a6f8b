package io.lentilslip.core.notice;

import java.util.Objects;

/**
 * A field of a notice. The value is kept as it was given, which may be a caller's text:
 * whoever writes it out bounds and escapes it for the form that is written. Immutable and
 * safe for use by several threads.
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
