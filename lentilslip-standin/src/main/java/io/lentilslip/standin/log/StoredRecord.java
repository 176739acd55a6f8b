package io.lentilslip.standin.log;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A record as the log stand-in holds it and writes it into answers. Immutable as long as
 * nobody changes the bytes.
 *
 * @param offset the offset in its stream
 * @param time the time of the append, in milliseconds since 1970
 * @param data the bytes
 * @param storedAt the time of the append by the stand-in's clock, in nanoseconds
 */
record StoredRecord(long offset, @JsonProperty("time_ms") long time, byte[] data, @JsonIgnore long storedAt) {

}
