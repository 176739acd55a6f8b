package io.lentilslip.core.call;

import java.util.Objects;
import java.util.Optional;

import io.lentilslip.core.identity.ProgramId;

/**
 * The place of a call in a program. Immutable and safe for use by several threads.
 *
 * @param program the program
 * @param parent the program whose sub-agent this program is, if there is one
 * @param number the number of the call in its program, from 1, if the caller gave one
 */
public record ProgramCall(ProgramId program, Optional<ProgramId> parent, Optional<Integer> number) {

	/**
	 * Creates a place in a program.
	 * @param program the program
	 * @param parent the program whose sub-agent this program is, if there is one
	 * @param number the number of the call in its program, from 1, if the caller gave one
	 * @throws IllegalArgumentException if the number is less than 1 or the program is its
	 * own parent
	 */
	public ProgramCall {
		Objects.requireNonNull(program, "program");
		if (parent.isPresent() && parent.get().equals(program)) {
			throw new IllegalArgumentException("a program is not its own parent");
		}
		if (number.isPresent() && number.get() < 1) {
			throw new IllegalArgumentException("calls are numbered from 1");
		}
	}

}
