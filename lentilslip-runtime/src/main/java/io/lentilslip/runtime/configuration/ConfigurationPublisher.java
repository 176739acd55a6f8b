package io.lentilslip.runtime.configuration;

import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ExecutionException;

import io.lentilslip.client.log.AppendOutcome;
import io.lentilslip.client.log.LogService;
import io.lentilslip.core.configuration.Configuration;
import io.lentilslip.core.configuration.ConfigurationSource;
import io.lentilslip.core.retry.Backoff;
import io.lentilslip.runtime.log.LogStreams;
import io.lentilslip.runtime.loop.Pause;
import io.lentilslip.runtime.loop.SeedSource;
import io.lentilslip.settings.folder.ConfigurationReader;
import io.lentilslip.settings.ini.ConfigurationProblem;
import io.lentilslip.wire.codec.ConfigurationRecordCodec;
import io.lentilslip.wire.configuration.PublishedConfiguration;
import io.vavr.control.Either;

/**
 * Publishes a configuration for an operator and says truthfully what became of it. The
 * log is read after each append: whether the publication took effect is decided by the
 * records before it, and an append whose answer was lost may be in the log all the same.
 * An append is repeated only under the same identity and base, so of several copies at
 * most one takes effect. Immutable and safe for use by several threads.
 */
public final class ConfigurationPublisher {

	private static final int ATTEMPTS = 5;

	private final LogService log;

	private final SeedSource seeds;

	private final Pause pause;

	/**
	 * Creates a publisher.
	 * @param log the log service
	 * @param seeds the source of the random part of pauses
	 * @param pause how a pause between two attempts is made
	 */
	public ConfigurationPublisher(LogService log, SeedSource seeds, Pause pause) {
		this.log = log;
		this.seeds = seeds;
		this.pause = pause;
	}

	/**
	 * Publishes a configuration.
	 * @param source the files
	 * @param base what they were made from
	 * @param publication an identity drawn for this publication; the same again to learn
	 * what became of an unknown one
	 * @return how it ended
	 * @throws InterruptedException if the thread is interrupted meanwhile; the
	 * publication may then take effect
	 */
	public PublicationOutcome publish(ConfigurationSource source, Base base, UUID publication)
			throws InterruptedException {
		Either<List<ConfigurationProblem>, Configuration> configuration = ConfigurationReader.read(source);
		if (configuration.isLeft()) {
			return new PublicationOutcome.Invalid(configuration.getLeft());
		}
		PublicationSearch search = new PublicationSearch(this.log, publication);
		Optional<String> unreadable = search.readToEnd();
		if (unreadable.isPresent()) {
			return new PublicationOutcome.NotPublished(unreadable.get());
		}
		long version = version(base, search.lineage());
		if (version >= search.lineage().next()) {
			return new PublicationOutcome.NotPublished("there is no version " + version + " in the log");
		}
		byte[] record = ConfigurationRecordCodec.encode(new PublishedConfiguration(version, publication, source));
		if (record.length > LogService.MAXIMUM_RECORD_BYTES) {
			return new PublicationOutcome.Invalid(List.of(ConfigurationProblem.ofFile("(all files)",
					record.length + " bytes", "at most " + LogService.MAXIMUM_RECORD_BYTES + " bytes as one record")));
		}
		return new Attempts(search, record, version).run(publication);
	}

	private static long version(Base base, ConfigurationLineage lineage) {
		return switch (base) {
			case Base.Version named -> named.version();
			case Base.Newest newest -> lineage.exact() ? lineage.head() : lineage.next() - 1;
		};
	}

	/**
	 * The attempts of one publication. Not safe for use by several threads.
	 */
	private final class Attempts {

		private final PublicationSearch search;

		private final byte[] record;

		private final long base;

		private boolean isInLog;

		private boolean mayBeInLog;

		private String reason = "";

		Attempts(PublicationSearch search, byte[] record, long base) {
			this.search = search;
			this.record = record;
			this.base = base;
		}

		PublicationOutcome run(UUID publication) throws InterruptedException {
			Optional<PublicationOutcome> known = judge();
			for (int attempt = 1; known.isEmpty() && attempt <= ATTEMPTS; attempt++) {
				if (!this.isInLog) {
					append();
				}
				Optional<String> unreadable = this.search.readToEnd();
				unreadable.ifPresent((why) -> this.reason = why);
				known = judge();
				if (known.isPresent() || (this.isInLog && unreadable.isEmpty())) {
					break;
				}
				ConfigurationPublisher.this.pause
					.await(Backoff.STANDARD.delayAfter(attempt, ConfigurationPublisher.this.seeds.next()));
			}
			return known.orElseGet(() -> (this.mayBeInLog || this.search.isUndecided())
					? new PublicationOutcome.Unknown(publication, this.reason)
					: new PublicationOutcome.NotPublished(this.reason));
		}

		// A later version than the base settles the matter for good: a copy of this
		// publication that still arrives comes after it and is void.
		private Optional<PublicationOutcome> judge() {
			if (this.search.won().isPresent()) {
				return Optional.of(new PublicationOutcome.Won(this.search.won().get()));
			}
			ConfigurationLineage lineage = this.search.lineage();
			if (lineage.exact() && lineage.head() > this.base) {
				return Optional.of(new PublicationOutcome.LostTo(lineage.head()));
			}
			return Optional.empty();
		}

		private void append() throws InterruptedException {
			switch (send()) {
				case AppendOutcome.Appended appended -> {
					this.isInLog = true;
					this.mayBeInLog = true;
					this.reason = "the log no longer holds the records that decide";
				}
				case AppendOutcome.NotAppended refused -> this.reason = refused.reason();
				case AppendOutcome.Unknown unknown -> {
					this.mayBeInLog = true;
					this.reason = unknown.reason();
				}
			}
		}

		private AppendOutcome send() throws InterruptedException {
			try {
				return ConfigurationPublisher.this.log.append(LogStreams.CONFIGURATION, this.record)
					.toCompletableFuture()
					.get();
			}
			catch (ExecutionException ex) {
				return new AppendOutcome.Unknown(String.valueOf(ex.getCause()));
			}
		}

	}

}
