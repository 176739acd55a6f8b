package io.lentilslip.entry.http;

import java.time.InstantSource;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.lentilslip.core.configuration.Configuration;
import io.lentilslip.core.identity.Incarnation;

/**
 * What the callers' interface needs of its entry. Immutable; its parts are safe for use
 * by several threads.
 *
 * @param incarnation the life of the entry
 * @param submissions the way in to the reducer
 * @param configuration the configuration in force, if there is one
 * @param clock a clock that never goes back
 * @param seeds a source of random numbers
 */
public record CallerDesk(Incarnation incarnation, Submissions submissions,
		Supplier<Optional<Configuration>> configuration, InstantSource clock, LongSupplier seeds) {

}
