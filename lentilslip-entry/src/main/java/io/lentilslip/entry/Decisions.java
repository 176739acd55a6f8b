package io.lentilslip.entry;

import java.util.function.BiFunction;
import java.util.function.Function;

import io.lentilslip.core.entry.EntryEffect;
import io.lentilslip.core.entry.EntryEvent;
import io.lentilslip.core.entry.EntryReducer;
import io.lentilslip.core.entry.EntryState;
import io.lentilslip.core.entry.EntryStatus;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.ZoneName;
import io.lentilslip.core.reducer.Reducer;

/**
 * The reducer of an entry, the state it begins with, and what operators see of it.
 * Immutable and safe for use by several threads.
 *
 * @param <S> the type of the state
 * @param reducer the reducer
 * @param first the state before the first event, of an entry in a zone
 * @param status what operators see of a state
 */
public record Decisions<S>(Reducer<S, EntryEvent, EntryEffect> reducer, BiFunction<ProcessId, ZoneName, S> first,
		Function<S, EntryStatus> status) {

	/**
	 * Returns the decisions of every entry but those of tests.
	 * @return the decisions
	 */
	public static Decisions<EntryState> standard() {
		return new Decisions<>(new EntryReducer(), EntryState::of, EntryState::status);
	}

}
