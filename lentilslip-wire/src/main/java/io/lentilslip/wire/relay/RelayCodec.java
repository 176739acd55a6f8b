package io.lentilslip.wire.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.lentilslip.core.relay.LedgerEntry;
import io.lentilslip.core.relay.Member;
import io.lentilslip.core.relay.PromptPart;
import io.lentilslip.core.relay.RunId;
import io.lentilslip.core.relay.SoftwareVersion;
import io.lentilslip.core.relay.StoredTurn;
import io.lentilslip.core.relay.StreamAttempt;
import io.lentilslip.core.relay.TextLocation;
import io.lentilslip.core.relay.TurnLocation;
import io.lentilslip.core.relay.TurnText;
import io.lentilslip.core.relay.TurnTokens;
import io.lentilslip.core.relay.UpstreamLoad;
import io.lentilslip.wire.generated.RelayProtocol;
import io.vavr.control.Either;

/**
 * Encodes and decodes messages of links and records of the store. Malformed bytes yield
 * an error on the left, never an exception. Stateless and safe for use by several
 * threads.
 */
public final class RelayCodec {

	/**
	 * The bytes of a record that are neither text nor names.
	 */
	private static final int PART_OVERHEAD_BYTES = 64;

	private RelayCodec() {
	}

	/**
	 * Encodes an entry.
	 * @param entry the entry
	 * @return the bytes
	 */
	public static byte[] encode(LedgerEntry entry) {
		return message(entry).toByteArray();
	}

	/**
	 * Decodes a record of the log.
	 * @param bytes the bytes
	 * @return the entry or an error, with the time at which the entry was written
	 */
	public static DecodedEntry decodeEntry(byte[] bytes) {
		try {
			RelayProtocol.RelayEntry message = RelayProtocol.RelayEntry.parseFrom(bytes);
			EntryTimestamp timestamp = new EntryTimestamp(message.getWritten(),
					Duration.ofMillis(Math.max(0, message.getLate())));
			return new DecodedEntry(entry(message),
					Optional.of(timestamp).filter((present) -> present.writtenAt() > 0));
		}
		catch (InvalidProtocolBufferException ex) {
			return new DecodedEntry(Either.left(ex.getMessage()), Optional.empty());
		}
	}

	/**
	 * Encodes an entry for the log with the time at which it was written.
	 * @param entry the entry
	 * @param writtenAt when it was written, in milliseconds of the wall clock
	 * @return the bytes
	 */
	public static byte[] encode(LedgerEntry entry, long writtenAt) {
		return message(entry).toBuilder().setWritten(writtenAt).build().toByteArray();
	}

	/**
	 * Adds the append delay to an encoded entry.
	 * @param encoded the bytes of the entry
	 * @param delay how long the entry was queued
	 * @return the bytes of the entry with the delay
	 */
	public static byte[] withAppendDelay(byte[] encoded, Duration delay) {
		// Protobuf merges concatenated messages of the same type.
		byte[] suffix = RelayProtocol.RelayEntry.newBuilder().setLate((int) delay.toMillis()).build().toByteArray();
		byte[] combined = Arrays.copyOf(encoded, encoded.length + suffix.length);
		System.arraycopy(suffix, 0, combined, encoded.length, suffix.length);
		return combined;
	}

	/**
	 * Encodes the text of a turn for the store.
	 * @param turn the turn
	 * @return the bytes
	 */
	public static byte[] encode(TurnText turn) {
		return message(turn).toByteArray();
	}

	/**
	 * Encodes the text of a turn for a store that limits the size of a record.
	 * @param turn the turn
	 * @param maxRecordBytes the maximum size of a record
	 * @return the records, in order
	 */
	public static List<byte[]> encodeRecords(TurnText turn, int maxRecordBytes) {
		byte[] whole = encode(turn);
		if (whole.length <= maxRecordBytes) {
			return List.of(whole);
		}
		byte[] input = turn.text().input();
		byte[] output = turn.text().output();
		byte[] empty = encode(
				new TurnText(turn.run(), new StoredTurn(turn.text().previous(), new byte[0], new byte[0])));
		int partBytes = maxRecordBytes - empty.length - PART_OVERHEAD_BYTES;
		int parts = (input.length + output.length + partBytes - 1) / partBytes;
		List<byte[]> records = new ArrayList<>();
		for (int part = 0; part < parts; part++) {
			int from = part * partBytes;
			StoredTurn slice = new StoredTurn(turn.text().previous(), slice(input, from, partBytes),
					slice(output, from - input.length, partBytes));
			records.add(message(new TurnText(turn.run(), slice)).toBuilder()
				.setPart(part)
				.setParts(parts)
				.build()
				.toByteArray());
		}
		return records;
	}

	private static byte[] slice(byte[] bytes, int from, int count) {
		int start = Math.clamp(from, 0, bytes.length);
		int end = Math.clamp((long) from + count, start, bytes.length);
		return Arrays.copyOfRange(bytes, start, end);
	}

	/**
	 * Decodes the text of a turn, or a part of it.
	 * @param bytes the bytes
	 * @return the error on the left, or the part on the right
	 */
	public static Either<String, TextPart> decodeTextPart(byte[] bytes) {
		return decodeText(bytes).flatMap((turn) -> {
			try {
				RelayProtocol.KeptText message = RelayProtocol.KeptText.parseFrom(bytes);
				int count = Math.max(1, message.getParts());
				return (message.getPart() >= 0 && message.getPart() < count)
						? Either.right(new TextPart(turn, message.getPart(), count))
						: Either.left("number of the part is out of range");
			}
			catch (InvalidProtocolBufferException ex) {
				return Either.left(ex.getMessage());
			}
		});
	}

	/**
	 * Decodes the text of a turn.
	 * @param bytes the bytes
	 * @return the error on the left, or the turn on the right
	 */
	public static Either<String, TurnText> decodeText(byte[] bytes) {
		try {
			RelayProtocol.KeptText message = RelayProtocol.KeptText.parseFrom(bytes);
			return message.getRequest().isEmpty() ? Either.left("text has no request id") : Either.right(turn(message));
		}
		catch (InvalidProtocolBufferException ex) {
			return Either.left(ex.getMessage());
		}
	}

	/**
	 * Encodes a message to another relay.
	 * @param message the message
	 * @return the bytes
	 */
	public static byte[] encode(PeerMessage message) {
		RelayProtocol.PeerMessage.Builder builder = RelayProtocol.PeerMessage.newBuilder();
		switch (message) {
			case PeerMessage.Greeting greeting -> builder.getGreetingBuilder().setAddress(greeting.address());
			case PeerMessage.Batch batch ->
				batch.entries().forEach((entry) -> builder.getBatchBuilder().addEntries(message(entry)));
			case PeerMessage.TurnWriteRequest request ->
				builder.getHelpBuilder().setEnd(message(request.settlement())).setText(message(request.text()));
			case PeerMessage.TextsRequest request -> builder.getTextsWantedBuilder().addAllRequest(request.requests());
			case PeerMessage.Texts texts ->
				texts.turns().forEach((turn) -> builder.getTextsBuilder().addTurns(message(turn)));
			case PeerMessage.TurnWriteAck ack -> builder.setStored(message(ack.runs()));
			case PeerMessage.ReservationRequest request -> builder.getQuestionBuilder()
				.setRun(request.run().number())
				.setRequest(request.run().request())
				.setProgram(request.program())
				.setMost(request.maxTokens())
				.setBudget(request.budget())
				.setPlace(request.throughLog());
			case PeerMessage.Usage usage -> {
				RelayProtocol.Taken.Builder usageBuilder = builder.getTakenBuilder()
					.setRun(usage.run().number())
					.setRequest(usage.run().request())
					.setTokens(usage.tokens())
					.setUnlogged(usage.uncommitted())
					.setLog(usage.logReachable());
				usage.loads().forEach((load) -> usageBuilder.addLoads(message(load)));
			}
			case PeerMessage.TextLocationsRequest request ->
				builder.getPlacesWantedBuilder().addRequest(request.request());
			case PeerMessage.TextLocations locations ->
				locations.turns().forEach((turn) -> builder.getPlacesBuilder().addTurns(message(turn)));
			case PeerMessage.StreamVersionRequest request ->
				builder.getStreamVersionsWantedBuilder().addRequest(request.request());
			case PeerMessage.StreamVersion version -> builder.getStreamVersionsBuilder()
				.addStreamsBuilder()
				.setRun(version.run().number())
				.setRequest(version.run().request())
				.setStream(message(version.attempt()));
			case PeerMessage.UsageUnavailable unavailable ->
				builder.getUnsureBuilder().setRun(unavailable.run().number()).setRequest(unavailable.run().request());
			case PeerMessage.SyncRequest ignored -> builder.getSyncBuilder();
			case PeerMessage.LogDecision decision -> builder.getPlaceBuilder()
				.setRun(decision.run().number())
				.setRequest(decision.run().request())
				.setHeld(decision.admitted());
			case PeerMessage.SyncComplete ignored -> builder.getToldBuilder();
			case PeerMessage.PermitsRequest request -> builder.setPermitRequest(PermitCodec.message(request.request()));
			case PeerMessage.PermitsGranted reply -> builder.setPermitReply(PermitCodec.message(reply.reply()));
			case PeerMessage.Unknown ignored -> {
				// Only decoded, never encoded.
			}
			case PeerMessage.Heartbeat ignored -> builder.getPulseBuilder();
		}
		return builder.build().toByteArray();
	}

	/**
	 * Decodes a message of another relay.
	 * @param bytes the bytes
	 * @return the error on the left, or the message on the right
	 */
	public static Either<String, PeerMessage> decodePeerMessage(byte[] bytes) {
		try {
			RelayProtocol.PeerMessage message = RelayProtocol.PeerMessage.parseFrom(bytes);
			return switch (message.getMessageCase()) {
				case GREETING -> Either.right(new PeerMessage.Greeting(message.getGreeting().getAddress()));
				case BATCH -> batch(message.getBatch());
				case HELP -> turnWriteRequest(message.getHelp());
				case TEXTS_WANTED ->
					Either.right(new PeerMessage.TextsRequest(Set.copyOf(message.getTextsWanted().getRequestList())));
				case TEXTS -> Either.right(new PeerMessage.Texts(
						message.getTexts().getTurnsList().stream().map(RelayCodec::turn).toList()));
				case STORED -> Either.right(new PeerMessage.TurnWriteAck(runs(message.getStored())));
				case QUESTION -> Either.right(reservationRequest(message.getQuestion()));
				case TAKEN -> Either.right(new PeerMessage.Usage(
						run(message.getTaken().getRequest(), message.getTaken().getRun()),
						message.getTaken().getTokens(), message.getTaken().getUnlogged(), message.getTaken().getLog(),
						message.getTaken().getLoadsList().stream().map(RelayCodec::load).toList()));
				case PLACES_WANTED -> (message.getPlacesWanted().getRequestCount() == 1)
						? Either.right(new PeerMessage.TextLocationsRequest(message.getPlacesWanted().getRequest(0)))
						: Either.left("text locations request must name exactly one turn");
				case PLACES -> Either.right(new PeerMessage.TextLocations(
						message.getPlaces().getTurnsList().stream().map(RelayCodec::turnLocation).toList()));
				case STREAM_VERSIONS_WANTED -> (message.getStreamVersionsWanted().getRequestCount() == 1)
						? Either.right(
								new PeerMessage.StreamVersionRequest(message.getStreamVersionsWanted().getRequest(0)))
						: Either.left("stream version request must name exactly one request");
				case STREAM_VERSIONS -> streamVersion(message.getStreamVersions());
				case UNSURE -> Either.right(new PeerMessage.UsageUnavailable(
						run(message.getUnsure().getRequest(), message.getUnsure().getRun())));
				case SYNC -> Either.right(new PeerMessage.SyncRequest());
				case PLACE -> Either.right(
						new PeerMessage.LogDecision(run(message.getPlace().getRequest(), message.getPlace().getRun()),
								message.getPlace().getHeld()));
				case TOLD -> Either.right(new PeerMessage.SyncComplete());
				case PULSE -> Either.right(new PeerMessage.Heartbeat());
				case PERMIT_REQUEST ->
					PermitCodec.request(message.getPermitRequest()).map(PeerMessage.PermitsRequest::new);
				case PERMIT_REPLY ->
					Either.right(new PeerMessage.PermitsGranted(PermitCodec.reply(message.getPermitReply())));
				case MESSAGE_NOT_SET -> unknownMessage(message);
			};
		}
		catch (InvalidProtocolBufferException ex) {
			return Either.left(ex.getMessage());
		}
	}

	/**
	 * Encodes the record of a relay in the list of relays; its key is the address.
	 * @param member the relay
	 * @return the bytes
	 */
	public static byte[] encode(Member member) {
		return RelayProtocol.Member.newBuilder()
			.setZone(member.zone())
			.setWeight(member.weight())
			.build()
			.toByteArray();
	}

	/**
	 * Decodes the record of a relay in the list of relays. A record without a weight
	 * yields the defaults; earlier versions wrote none.
	 * @param address the address of the relay
	 * @param bytes the bytes of the record
	 * @return the relay
	 */
	public static Member decodeMember(String address, byte[] bytes) {
		try {
			RelayProtocol.Member message = RelayProtocol.Member.parseFrom(bytes);
			return (message.getWeight() > 0) ? new Member(address, message.getZone(), message.getWeight())
					: Member.of(address);
		}
		catch (InvalidProtocolBufferException ex) {
			return Member.of(address);
		}
	}

	private static Either<String, PeerMessage> streamVersion(RelayProtocol.StreamVersions message) {
		if (message.getStreamsCount() != 1) {
			return Either.left("message must have exactly one stream version");
		}
		RelayProtocol.VersionedStream stream = message.getStreams(0);
		return Either.right(
				new PeerMessage.StreamVersion(run(stream.getRequest(), stream.getRun()), attempt(stream.getStream())));
	}

	private static RelayProtocol.StreamVersion message(StreamAttempt attempt) {
		return RelayProtocol.StreamVersion.newBuilder()
			.setService(attempt.version().service())
			.setVersion(attempt.version().version())
			.setAttempt(attempt.number())
			.build();
	}

	private static StreamAttempt attempt(RelayProtocol.StreamVersion message) {
		return new StreamAttempt(new SoftwareVersion(message.getService(), message.getVersion()), message.getAttempt());
	}

	private static RelayProtocol.PlacedTurn message(TurnLocation turn) {
		return RelayProtocol.PlacedTurn.newBuilder()
			.setRun(turn.run().number())
			.setRequest(turn.run().request())
			.setPlace(message(turn.location()))
			.build();
	}

	private static TurnLocation turnLocation(RelayProtocol.PlacedTurn message) {
		return new TurnLocation(run(message.getRequest(), message.getRun()), textLocation(message.getPlace()));
	}

	private static RelayProtocol.UpstreamLoad message(UpstreamLoad load) {
		return RelayProtocol.UpstreamLoad.newBuilder()
			.setLife(load.incarnationHash())
			.setRequests(load.requests())
			.setAge(load.ageMillis())
			.build();
	}

	private static UpstreamLoad load(RelayProtocol.UpstreamLoad message) {
		return new UpstreamLoad(message.getLife(), Math.max(0, message.getRequests()), Math.max(0, message.getAge()));
	}

	// During a rolling upgrade links have to stay connected, so message types that only
	// the newer version knows are ignored.
	private static Either<String, PeerMessage> unknownMessage(RelayProtocol.PeerMessage message) {
		return message.getUnknownFields().asMap().isEmpty() ? Either.left("message has no content")
				: Either.right(new PeerMessage.Unknown());
	}

	private static Either<String, PeerMessage> turnWriteRequest(RelayProtocol.Help message) {
		return entry(message.getEnd()).flatMap((entry) -> (entry instanceof LedgerEntry.Settled settled)
				? Either.right(new PeerMessage.TurnWriteRequest(settled, text(message.getText())))
				: Either.left("turn write request has no settlement"));
	}

	private static RelayProtocol.KeptText message(TurnText turn) {
		return RelayProtocol.KeptText.newBuilder()
			.setRun(turn.run().number())
			.setRequest(turn.request())
			.setText(message(turn.text()))
			.build();
	}

	private static RelayProtocol.TurnText message(StoredTurn text) {
		return RelayProtocol.TurnText.newBuilder()
			.setPrevious(text.previous().orElse(""))
			.setInput(ByteString.copyFrom(text.input()))
			.setOutput(ByteString.copyFrom(text.output()))
			.build();
	}

	private static TurnText turn(RelayProtocol.KeptText message) {
		return new TurnText(run(message.getRequest(), message.getRun()), text(message.getText()));
	}

	private static StoredTurn text(RelayProtocol.TurnText message) {
		return new StoredTurn(nonEmpty(message.getPrevious()), message.getInput().toByteArray(),
				message.getOutput().toByteArray());
	}

	private static Optional<String> nonEmpty(String text) {
		return Optional.of(text).filter((name) -> !name.isEmpty());
	}

	private static RunId run(String request, long number) {
		return new RunId(request, Math.max(0, number));
	}

	private static RelayProtocol.Requests message(Set<RunId> runs) {
		RelayProtocol.Requests.Builder builder = RelayProtocol.Requests.newBuilder();
		runs.forEach((run) -> builder.addRequest(run.request()).addRuns(run.number()));
		return builder.build();
	}

	private static Set<RunId> runs(RelayProtocol.Requests message) {
		Set<RunId> runs = new HashSet<>();
		for (int i = 0; i < message.getRequestCount(); i++) {
			runs.add(run(message.getRequest(i), (i < message.getRunsCount()) ? message.getRuns(i) : 0));
		}
		return runs;
	}

	private static PeerMessage reservationRequest(RelayProtocol.Question message) {
		return new PeerMessage.ReservationRequest(run(message.getRequest(), message.getRun()), message.getProgram(),
				message.getMost(), message.getBudget(), message.getPlace());
	}

	private static Either<String, PeerMessage> batch(RelayProtocol.Batch batch) {
		List<LedgerEntry> entries = new ArrayList<>();
		for (RelayProtocol.RelayEntry message : batch.getEntriesList()) {
			Either<String, LedgerEntry> entry = entry(message);
			if (entry.isLeft()) {
				return Either.left(entry.getLeft());
			}
			entries.add(entry.get());
		}
		return Either.right(new PeerMessage.Batch(entries));
	}

	private static RelayProtocol.RelayEntry message(LedgerEntry entry) {
		RelayProtocol.RelayEntry.Builder builder = RelayProtocol.RelayEntry.newBuilder()
			.setRun(entry.run().number())
			.setRequest(entry.request());
		switch (entry) {
			case LedgerEntry.Reserved reserved -> builder.setReservation(reservation(reserved));
			case LedgerEntry.Settled settled -> builder.setSettlement(settlement(settled));
			case LedgerEntry.UsageRenewed renewed -> builder.setUsage(usage(renewed));
			case LedgerEntry.UpstreamFailed failed -> {
				// Versions that don't know the field refuse an entry without a request,
				// and count this one as the failure that they know.
				builder.setRequest(failed.isTakenBack() ? failed.upstream() : failed.request());
				builder.getBlameBuilder()
					.setDigest(failed.digest())
					.setUpstream(failed.upstream())
					.setTakenBack(failed.isTakenBack());
			}
		}
		return builder.build();
	}

	private static RelayProtocol.Reservation reservation(LedgerEntry.Reserved reserved) {
		RelayProtocol.Reservation.Builder builder = RelayProtocol.Reservation.newBuilder()
			.setProgram(reserved.program())
			.setTokens(reserved.maxTokens())
			.setUpstream(reserved.upstream())
			.setContending(reserved.conditional());
		reserved.stream().ifPresent((attempt) -> builder.setStream(message(attempt)));
		for (PromptPart part : reserved.prompt()) {
			builder.addPrompt(RelayProtocol.Part.newBuilder().setId(part.id()).setTokens(part.tokens()));
		}
		return builder.build();
	}

	private static RelayProtocol.Settlement settlement(LedgerEntry.Settled settled) {
		RelayProtocol.Settlement.Builder builder = RelayProtocol.Settlement.newBuilder()
			.setProgram(settled.program())
			.setTokens(settled.tokens());
		settled.textLocation().ifPresent((location) -> builder.setPlace(message(location)));
		return builder.build();
	}

	private static RelayProtocol.ProgramUsage usage(LedgerEntry.UsageRenewed renewed) {
		RelayProtocol.ProgramUsage.Builder builder = RelayProtocol.ProgramUsage.newBuilder()
			.setRetention(Math.max(0, renewed.retention().toMillis()));
		renewed.turns()
			.forEach((run, turn) -> builder.addTurnsBuilder()
				.setRun(run.number())
				.setRequest(run.request())
				.setTokens(turn.tokens())
				.setOpen(turn.open()));
		return builder.build();
	}

	private static LedgerEntry usageRenewed(String program, RelayProtocol.ProgramUsage message) {
		Map<RunId, TurnTokens> turns = new HashMap<>();
		for (RelayProtocol.ProgramTurn turn : message.getTurnsList()) {
			turns.put(run(turn.getRequest(), turn.getRun()),
					new TurnTokens(Math.max(0, turn.getTokens()), turn.getOpen()));
		}
		return new LedgerEntry.UsageRenewed(program, turns, Duration.ofMillis(Math.max(0, message.getRetention())));
	}

	private static Either<String, LedgerEntry> entry(RelayProtocol.RelayEntry message) {
		if (message.getRequest().isEmpty()) {
			return Either.left("entry has no request id");
		}
		return switch (message.getEntryCase()) {
			case RESERVATION ->
				Either.right(reserved(run(message.getRequest(), message.getRun()), message.getReservation()));
			case SETTLEMENT ->
				Either.right(settled(run(message.getRequest(), message.getRun()), message.getSettlement()));
			case USAGE -> Either.right(usageRenewed(message.getRequest(), message.getUsage()));
			case BLAME -> Either.right(failed(run(message.getRequest(), message.getRun()), message.getBlame()));
			case ENTRY_NOT_SET -> Either.left("entry has no content");
		};
	}

	private static LedgerEntry reserved(RunId run, RelayProtocol.Reservation message) {
		List<PromptPart> prompt = new ArrayList<>();
		for (RelayProtocol.Part part : message.getPromptList()) {
			prompt.add(new PromptPart(part.getId(), part.getTokens()));
		}
		return new LedgerEntry.Reserved(run, message.getProgram(), message.getTokens(), message.getUpstream(), prompt,
				message.getContending(),
				message.hasStream() ? Optional.of(attempt(message.getStream())) : Optional.empty());
	}

	private static LedgerEntry failed(RunId run, RelayProtocol.Blame message) {
		return message.getTakenBack() ? LedgerEntry.UpstreamFailed.takenBack(message.getDigest(), message.getUpstream())
				: new LedgerEntry.UpstreamFailed(run, message.getDigest(), message.getUpstream());
	}

	private static LedgerEntry settled(RunId run, RelayProtocol.Settlement message) {
		Optional<TextLocation> location = Optional.of(message)
			.filter(RelayProtocol.Settlement::hasPlace)
			.map((settlement) -> textLocation(settlement.getPlace()));
		return new LedgerEntry.Settled(run, message.getProgram(), message.getTokens(), location);
	}

	private static RelayProtocol.TextPlace message(TextLocation location) {
		return RelayProtocol.TextPlace.newBuilder()
			.setPrevious(location.previous().orElse(""))
			.setBytes(location.bytes())
			.setPart(location.partition())
			.setFrom(location.minOffset())
			.setHolder(location.origin().orElse(""))
			.setRetention(location.retention().toMillis())
			.setRenewed(location.renewed())
			.build();
	}

	private static TextLocation textLocation(RelayProtocol.TextPlace message) {
		return new TextLocation(nonEmpty(message.getPrevious()), message.getBytes(), message.getPart(),
				message.getFrom(), nonEmpty(message.getHolder()),
				Duration.ofMillis(Math.max(0, message.getRetention())), message.getRenewed());
	}

}
