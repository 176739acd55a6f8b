package io.lentilslip.runtime.configuration;

import java.time.Duration;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ExecutionException;

import io.lentilslip.client.log.LogRecord;
import io.lentilslip.client.log.LogService;
import io.lentilslip.client.log.ReadOutcome;
import io.lentilslip.core.call.Body;
import io.lentilslip.runtime.configuration.ConfigurationLineage.Decision;
import io.lentilslip.runtime.configuration.ConfigurationLineage.Effect;
import io.lentilslip.runtime.log.LogStreams;
import io.lentilslip.settings.folder.ConfigurationReader;
import io.lentilslip.wire.codec.CodecProblem;
import io.lentilslip.wire.codec.ConfigurationRecordCodec;
import io.lentilslip.wire.configuration.PublishedConfiguration;
import io.vavr.control.Either;

/**
 * Reads the stream of configurations and looks for one publication in it. Not safe for
 * use by several threads.
 */
final class PublicationSearch {

	// Four records of the largest size fit into one answer of the log.
	private static final int PAGE = 4;

	private final LogService log;

	private final UUID publication;

	private ConfigurationLineage lineage = ConfigurationLineage.atStart();

	private Optional<Long> won = Optional.empty();

	private Optional<PublishedVersion> newest = Optional.empty();

	private boolean undecided;

	/**
	 * Creates a search that has read nothing.
	 * @param log the log service
	 * @param publication the identity of the publication
	 */
	PublicationSearch(LogService log, UUID publication) {
		this.log = log;
		this.publication = publication;
	}

	/**
	 * Reads on to the end that the stream has now.
	 * @return why the log could not be read, or an empty result if it was
	 * @throws InterruptedException if the thread is interrupted meanwhile
	 */
	Optional<String> readToEnd() throws InterruptedException {
		while (true) {
			switch (read()) {
				case ReadOutcome.Unavailable unavailable -> {
					return Optional.of(unavailable.reason());
				}
				case ReadOutcome.Records records -> {
					this.lineage = this.lineage.afterGap(records.first());
					records.records().forEach(this::take);
					if (this.lineage.next() >= records.next()) {
						return Optional.empty();
					}
				}
			}
		}
	}

	private ReadOutcome read() throws InterruptedException {
		try {
			return this.log.read(LogStreams.CONFIGURATION, this.lineage.next(), PAGE, Duration.ZERO)
				.toCompletableFuture()
				.get();
		}
		catch (ExecutionException ex) {
			return new ReadOutcome.Unavailable(String.valueOf(ex.getCause()));
		}
	}

	private void take(LogRecord record) {
		Either<CodecProblem, PublishedConfiguration> published = ConfigurationRecordCodec.decode(record.data());
		if (published.isLeft()) {
			this.lineage = this.lineage.skip();
			return;
		}
		Decision decision = this.lineage.read(published.get().baseVersion());
		this.lineage = decision.after();
		if (decision.effect() == Effect.TAKEN) {
			ConfigurationReader.read(published.get().files())
				.peek((configuration) -> this.newest = Optional
					.of(new PublishedVersion(record.offset(), Body.of(record.data()), configuration)));
		}
		if (!published.get().publicationId().equals(this.publication)) {
			return;
		}
		if (decision.effect() == Effect.TAKEN) {
			this.won = Optional.of(record.offset());
		}
		if (decision.effect() == Effect.UNDECIDED) {
			this.undecided = true;
		}
	}

	/**
	 * Returns the last version that took effect, as far as it is known.
	 * @return the lineage after all that was read
	 */
	ConfigurationLineage lineage() {
		return this.lineage;
	}

	/**
	 * Returns where the publication took effect.
	 * @return its version, or an empty result if it took no effect so far
	 */
	Optional<Long> won() {
		return this.won;
	}

	/**
	 * Returns the last version that took effect and has no problems.
	 * @return the version, or an empty result if none was read so far
	 */
	Optional<PublishedVersion> newest() {
		return this.newest;
	}

	/**
	 * Returns whether a record of the publication was read whose effect can't be told
	 * from the log alone.
	 * @return whether its effect is undecided
	 */
	boolean isUndecided() {
		return this.undecided;
	}

}
