package io.lentilslip.core.entry;

import java.time.Duration;
import java.util.Optional;

import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.IdempotencyKey;
import io.lentilslip.core.identity.ProgramName;

/**
 * A request of a caller as it came in, read but not yet checked against the
 * configuration. Immutable and safe for use by several threads.
 *
 * @param caller the digest of the key that the caller showed
 * @param program the program, if the caller named one
 * @param parent the program whose sub-agent it is, if the caller named one
 * @param number the number of the call in its program, if the caller gave one
 * @param key the idempotency key, if the caller gave one
 * @param timeLeft the time that the caller waits, if it said so
 * @param payload what it asks for
 */
public record Submission(Digest caller, Optional<ProgramName> program, Optional<ProgramName> parent,
		Optional<Integer> number, Optional<IdempotencyKey> key, Optional<Duration> timeLeft, Payload payload) {

}
