package io.lentilslip.core.entry;

import java.time.Duration;
import java.util.Optional;

import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.IdempotencyKey;
import io.lentilslip.core.identity.ProgramName;

/**
 * Parsed request of a caller before validation against the configuration. Immutable and
 * safe for use by several threads.
 *
 * @param caller the digest of the caller's key
 * @param program the program, if the request names one
 * @param parent the parent program, if the program is a sub-agent
 * @param number the number of the call in its program, if given
 * @param key the idempotency key, if given
 * @param timeLeft the caller's timeout, if given
 * @param payload the content of the request
 */
public record Submission(Digest caller, Optional<ProgramName> program, Optional<ProgramName> parent,
		Optional<Integer> number, Optional<IdempotencyKey> key, Optional<Duration> timeLeft, Payload payload) {

}
