package io.lentilslip.core.call;

import java.util.Objects;
import java.util.Optional;

import io.lentilslip.core.identity.ProgramId;

/**
 * Immutable program and number of a call. Thread-safe.
 *
 * @param program the program
 * @param parent the program that started this one as a sub-agent, if any
 * @param number the number of the call in its program, from 1, if the caller sent one
 */
public record ProgramCall(ProgramId program, Optional<ProgramId> parent, Optional<Integer> number) {

	/**
	 * Creates a program call.
	 * @param program the program
	 * @param parent the program that started this one as a sub-agent, if any
	 * @param number the number of the call in its program, from 1, if the caller sent one
	 * @throws IllegalArgumentException if the number is less than 1 or the program is its
	 * own parent
	 */
	public ProgramCall {
		Objects.requireNonNull(program, "program");
		if (parent.isPresent() && parent.get().equals(program)) {
			throw new IllegalArgumentException("program must not be its own parent");
		}
		if (number.isPresent() && number.get() < 1) {
			throw new IllegalArgumentException("call number must be positive");
		}
	}

}
