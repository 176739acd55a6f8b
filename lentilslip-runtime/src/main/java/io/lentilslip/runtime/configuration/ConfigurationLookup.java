package io.lentilslip.runtime.configuration;

import java.util.Optional;
import java.util.UUID;

import io.lentilslip.client.log.LogService;

/**
 * Looks up once, for an operator, what the log says is in force. The log alone is asked:
 * where it no longer holds the records that decide, the answer says so, and the processes
 * still know. Immutable and safe for use by several threads.
 */
public final class ConfigurationLookup {

	private final LogService log;

	/**
	 * Creates a lookup.
	 * @param log the log service
	 */
	public ConfigurationLookup(LogService log) {
		this.log = log;
	}

	/**
	 * Reads the stream of configurations to its end.
	 * @return what is in force
	 * @throws InterruptedException if the thread is interrupted meanwhile
	 */
	public Outcome find() throws InterruptedException {
		PublicationSearch search = new PublicationSearch(this.log, UUID.randomUUID());
		Optional<String> unreadable = search.readToEnd();
		if (unreadable.isPresent()) {
			return new Outcome.Unavailable(unreadable.get());
		}
		ConfigurationLineage lineage = search.lineage();
		if (!lineage.exact()) {
			return new Outcome.PassedRetention();
		}
		return search.newest()
			.<Outcome>map((version) -> new Outcome.InForce(version, lineage.head()))
			.orElseGet(() -> (lineage.head() == ConfigurationLineage.NONE) ? new Outcome.NothingPublished()
					: new Outcome.PassedRetention());
	}

	/**
	 * What a lookup found. Implementations are immutable and safe for use by several
	 * threads.
	 */
	public sealed interface Outcome {

		/**
		 * A version is in force.
		 *
		 * @param version the version
		 * @param head the version to publish from; above the one in force if processes
		 * refused a later one for its problems
		 */
		record InForce(PublishedVersion version, long head) implements Outcome {

		}

		/**
		 * Nothing was published since the log began.
		 */
		record NothingPublished() implements Outcome {

		}

		/**
		 * The log no longer holds the records that decide.
		 */
		record PassedRetention() implements Outcome {

		}

		/**
		 * The log could not be read.
		 *
		 * @param reason what happened, for people
		 */
		record Unavailable(String reason) implements Outcome {

		}

	}

}
