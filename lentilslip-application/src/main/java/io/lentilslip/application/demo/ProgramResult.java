package io.lentilslip.application.demo;

import java.time.Duration;

/**
 * How a program of the demonstration went. Immutable and safe for use by several threads.
 *
 * @param plan what the program was to do
 * @param latency the time from its first request to its last answer
 * @param calls the calls of models, those of its sub-agent included
 * @param use the tokens that these calls took
 */
record ProgramResult(ProgramPlan plan, Duration latency, int calls, TokenUse use) {

}
