package io.lentilslip.runtime.configuration;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Consumer;

import io.lentilslip.client.log.LogRecord;
import io.lentilslip.client.log.LogService;
import io.lentilslip.core.call.Body;
import io.lentilslip.core.configuration.Configuration;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.notice.FieldName;
import io.lentilslip.core.notice.Notice;
import io.lentilslip.core.notice.NoticeCode;
import io.lentilslip.runtime.configuration.ConfigurationLineage.Decision;
import io.lentilslip.runtime.log.LogStreams;
import io.lentilslip.runtime.log.StreamFollower;
import io.lentilslip.runtime.loop.ProcessContext;
import io.lentilslip.settings.folder.ConfigurationReader;
import io.lentilslip.settings.ini.ConfigurationProblem;
import io.lentilslip.wire.codec.CodecProblem;
import io.lentilslip.wire.codec.ConfigurationRecordCodec;
import io.lentilslip.wire.configuration.PublishedConfiguration;
import io.vavr.control.Either;

/**
 * Finds the configuration in force from the log and from peers. The version in force only
 * ever grows. A process that starts while the log is down, or after the record passed
 * retention, takes the newest version that a peer offers; with neither it waits and says
 * so, and never takes an empty configuration for a real one. Safe for use by several
 * threads.
 */
public final class ConfigurationFollower implements AutoCloseable {

	private static final Duration REMINDER = Duration.ofSeconds(10);

	private final Consumer<PublishedVersion> accepted;

	private final ProcessContext context;

	private final StreamFollower follower;

	private final Instant started;

	private final Object lock = new Object();

	private ConfigurationLineage lineage = ConfigurationLineage.atStart();

	private Optional<UUID> headPublication = Optional.empty();

	private Instant reminded;

	private volatile Optional<PublishedVersion> newest = Optional.empty();

	/**
	 * Creates a follower that has not started; it takes offers already.
	 * @param log the log service
	 * @param accepted what is told each new version, in their order; must not block
	 * @param context what the follower shares with the process
	 */
	public ConfigurationFollower(LogService log, Consumer<PublishedVersion> accepted, ProcessContext context) {
		this.accepted = accepted;
		this.context = context;
		this.started = context.clock().now();
		this.reminded = this.started;
		this.follower = new StreamFollower(log, LogStreams.CONFIGURATION, 0, new FromLog(), context);
	}

	/**
	 * Starts to read the log.
	 */
	public void start() {
		this.follower.start();
	}

	/**
	 * Returns the version in force, to be offered to peers that have an older one.
	 * @return the version, or an empty result if none is known yet
	 */
	public Optional<PublishedVersion> newest() {
		return this.newest;
	}

	/**
	 * Takes a version that a peer says is in force. It is checked like one from the log,
	 * and dropped if it isn't newer than the one in force here.
	 * @param peer the VM of the peer
	 * @param version the version
	 * @param record the bytes of its record
	 * @return whether the version is in force here now by this offer
	 */
	public boolean offer(VmName peer, long version, Body record) {
		synchronized (this.lock) {
			if (version <= newestVersion()) {
				return false;
			}
			Either<CodecProblem, PublishedConfiguration> published = ConfigurationRecordCodec.decode(record.toBytes());
			if (published.isLeft()) {
				refuse(version, published.getLeft());
				return false;
			}
			Optional<Configuration> configuration = check(version, published.get());
			if (configuration.isEmpty()) {
				return false;
			}
			// What came after this version, the log tells; all that was read before it
			// no longer matters.
			this.lineage = ConfigurationLineage.after(version);
			this.headPublication = Optional.of(published.get().publicationId());
			this.follower.jumpTo(this.lineage.next());
			this.context.notices().accept(about(NoticeCode.CONFIGURATION_FROM_PEER, version).with(FieldName.VM, peer));
			accept(new PublishedVersion(version, record, configuration.get()));
			return true;
		}
	}

	private long newestVersion() {
		return this.newest.map(PublishedVersion::version).orElse(ConfigurationLineage.NONE);
	}

	private void accept(PublishedVersion version) {
		this.newest = Optional.of(version);
		this.context.notices()
			.accept(about(NoticeCode.CONFIGURATION_ACCEPTED, version.version()).with(FieldName.COUNT,
					version.configuration().groups().size()));
		this.accepted.accept(version);
	}

	private Optional<Configuration> check(long version, PublishedConfiguration published) {
		Either<List<ConfigurationProblem>, Configuration> read = ConfigurationReader.read(published.files());
		if (read.isRight()) {
			return Optional.of(read.get());
		}
		for (ConfigurationProblem problem : read.getLeft()) {
			this.context.notices()
				.accept(about(NoticeCode.CONFIGURATION_REFUSED, version).with(FieldName.FILE, problem.file())
					.with(FieldName.LINE, problem.line())
					.with(FieldName.REASON, problem)
					.with(FieldName.EXPECTED, problem.expected()));
		}
		return Optional.empty();
	}

	private void refuse(long version, CodecProblem problem) {
		this.context.notices().accept(about(NoticeCode.CONFIGURATION_REFUSED, version).with(FieldName.REASON, problem));
	}

	private static Notice about(NoticeCode code, long version) {
		return new Notice(code, List.of()).with(FieldName.VERSION, version);
	}

	/**
	 * Ends the reading of the log.
	 */
	@Override
	public void close() {
		this.follower.close();
	}

	/**
	 * Takes the records of the log.
	 */
	private final class FromLog implements StreamFollower.Listener {

		@Override
		public void record(LogRecord record) {
			synchronized (ConfigurationFollower.this.lock) {
				// A version that a peer offered meanwhile sets another place to read
				// from;
				// the record is read again if it comes after that version.
				if (record.offset() != ConfigurationFollower.this.lineage.next()) {
					return;
				}
				Either<CodecProblem, PublishedConfiguration> published = ConfigurationRecordCodec.decode(record.data());
				if (published.isLeft()) {
					refuse(record.offset(), published.getLeft());
					ConfigurationFollower.this.lineage = ConfigurationFollower.this.lineage.skip();
					return;
				}
				decide(record, published.get());
			}
		}

		private void decide(LogRecord record, PublishedConfiguration published) {
			Decision decision = ConfigurationFollower.this.lineage.read(published.baseVersion());
			ConfigurationFollower.this.lineage = decision.after();
			switch (decision.effect()) {
				case TAKEN -> take(record, published);
				case SUPERSEDED -> reportSuperseded(record.offset(), published);
				case UNDECIDED ->
					report(NoticeCode.CONFIGURATION_GAP, record.offset(), "made from " + published.baseVersion());
				case MALFORMED -> report(NoticeCode.CONFIGURATION_REFUSED, record.offset(),
						"made from " + published.baseVersion() + ", which is no version before it");
			}
		}

		private void take(LogRecord record, PublishedConfiguration published) {
			ConfigurationFollower.this.headPublication = Optional.of(published.publicationId());
			check(record.offset(), published).ifPresent((configuration) -> accept(
					new PublishedVersion(record.offset(), Body.of(record.data()), configuration)));
		}

		// The second copy of a publication whose answer was lost is void as it should be;
		// a warning would send an operator looking for a rival that doesn't exist.
		private void reportSuperseded(long offset, PublishedConfiguration published) {
			if (ConfigurationFollower.this.headPublication.equals(Optional.of(published.publicationId()))) {
				return;
			}
			report(NoticeCode.CONFIGURATION_SUPERSEDED, offset, "made from " + published.baseVersion());
		}

		private void report(NoticeCode code, long version, String reason) {
			ConfigurationFollower.this.context.notices().accept(about(code, version).with(FieldName.REASON, reason));
		}

		@Override
		public void caughtUp(long next) {
			remind("the log holds none, and no peer has offered one");
		}

		@Override
		public void unreachable() {
			remind("the log can't be read, and no peer has offered one");
		}

		private void remind(String reason) {
			Instant now = ConfigurationFollower.this.context.clock().now();
			if (newest().isPresent() || now.isBefore(ConfigurationFollower.this.reminded.plus(REMINDER))) {
				return;
			}
			ConfigurationFollower.this.reminded = now;
			long millis = Duration.between(ConfigurationFollower.this.started, now).toMillis();
			Notice notice = new Notice(NoticeCode.CONFIGURATION_AWAITED, List.of());
			ConfigurationFollower.this.context.notices()
				.accept(notice.with(FieldName.REASON, reason).with(FieldName.MILLISECONDS, millis));
		}

		@Override
		public void gap(long from, long first) {
			synchronized (ConfigurationFollower.this.lock) {
				if (from == ConfigurationFollower.this.lineage.next()) {
					ConfigurationFollower.this.lineage = ConfigurationFollower.this.lineage.afterGap(first);
				}
			}
		}

	}

}
