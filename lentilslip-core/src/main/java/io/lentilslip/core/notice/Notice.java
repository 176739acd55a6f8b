package io.lentilslip.core.notice;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * A numbered event that operators read. It has only fields that its code lists, each at
 * most once; a field may be left out where its value isn't known. Immutable and safe for
 * use by several threads.
 *
 * @param code what happened
 * @param fields to whom and how, in the order of their adding
 */
public record Notice(NoticeCode code, List<NoticeField> fields) {

	/**
	 * Creates a notice.
	 * @param code what happened
	 * @param fields to whom and how, in the order of their adding
	 * @throws IllegalArgumentException if the code does not list a field, or a field
	 * stands twice
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
	 * Returns this notice with a further field.
	 * @param name the name of the field
	 * @param value the value, written by its {@code toString}
	 * @return the longer notice
	 * @throws IllegalArgumentException if the code does not list the field, or it stands
	 * here already
	 */
	public Notice with(FieldName name, Object value) {
		List<NoticeField> longer = new ArrayList<>(this.fields);
		longer.add(new NoticeField(name, value.toString()));
		return new Notice(this.code, longer);
	}

}
