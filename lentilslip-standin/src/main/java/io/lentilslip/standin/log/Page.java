package io.lentilslip.standin.log;

import java.util.List;

/**
 * A page of records, as answers to reads hold it. Immutable.
 *
 * @param first the oldest offset that is kept
 * @param next the offset of the next append
 * @param records the records
 */
record Page(long first, long next, List<StoredRecord> records) {

}
