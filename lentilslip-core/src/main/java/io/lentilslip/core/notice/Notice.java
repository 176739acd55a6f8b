package io.lentilslip.core.notice;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * Immutable numbered event for operators. It has only fields that its code lists, each at
 * most once; a field with an unknown value may be omitted. Safe for use by several
 * threads.
 *
 * @param code the kind of event
 * @param fields the fields, in the order in which they were added
 */
public record Notice(NoticeCode code, List<NoticeField> fields) {

	/**
	 * Creates a notice.
	 * @param code the kind of event
	 * @param fields the fields, in the order in which they were added
	 * @throws IllegalArgumentException if the code does not list a field, or a field
	 * occurs twice
	 */
	public Notice {
		Objects.requireNonNull(code, "code");
		fields = List.copyOf(fields);
		Set<FieldName> seen = EnumSet.noneOf(FieldName.class);
		for (NoticeField field : fields) {
			if (!code.fields().contains(field.name())) {
				throw new IllegalArgumentException(code + " does not list the field " + field.name());
			}
			if (!seen.add(field.name())) {
				throw new IllegalArgumentException(code + " has the field " + field.name() + " twice");
			}
		}
	}

	/**
	 * Returns a copy of this notice with an additional field.
	 * @param name the name of the field
	 * @param value the value, written by its {@code toString}
	 * @return the copy
	 * @throws IllegalArgumentException if the code does not list the field, or this
	 * notice already has it
	 */
	public Notice with(FieldName name, Object value) {
		List<NoticeField> longer = new ArrayList<>(this.fields);
		longer.add(new NoticeField(name, value.toString()));
		return new Notice(this.code, longer);
	}

}
