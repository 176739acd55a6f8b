package io.lentilslip.wire.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.lentilslip.core.relay.LedgerEntry;
import io.lentilslip.core.relay.Member;
import io.lentilslip.core.relay.PromptPart;
import io.lentilslip.core.relay.StoredTurn;
import io.lentilslip.core.relay.TextLocation;
import io.lentilslip.core.relay.TurnLocation;
import io.lentilslip.core.relay.TurnText;
import io.lentilslip.core.relay.UpstreamLoad;
import io.lentilslip.wire.generated.RelayProtocol;
import io.vavr.control.Either;

/**
 * Turns the messages of relays into bytes and back. Bytes that are no message are a value
 * on the left, never an exception. Stateless and safe for use by several threads.
 */
public final class RelayCodec {

	private RelayCodec() {
	}

	/**
	 * Writes an entry.
	 * @param entry the entry
	 * @return its bytes
	 */
	public static byte[] encode(LedgerEntry entry) {
		return message(entry).toByteArray();
	}

	/**
	 * Reads a record of the log.
	 * @param bytes its bytes
	 * @return the entry, or why it is none, and when it was written
	 */
	public static DecodedEntry decodeEntry(byte[] bytes) {
		try {
			RelayProtocol.RelayEntry message = RelayProtocol.RelayEntry.parseFrom(bytes);
			EntryTimestamp time = new EntryTimestamp(message.getWritten(),
					Duration.ofMillis(Math.max(0, message.getLate())));
			return new DecodedEntry(entry(message), Optional.of(time).filter((known) -> known.writtenAt() > 0));
		}
		catch (InvalidProtocolBufferException ex) {
			return new DecodedEntry(Either.left(ex.getMessage()), Optional.empty());
		}
	}

	/**
	 * Writes an entry for the log, with its time.
	 * @param entry the entry
	 * @param written when it was written, in milliseconds of a clock of the day
	 * @return its bytes
	 */
	public static byte[] encode(LedgerEntry entry, long written) {
		return message(entry).toBuilder().setWritten(written).build().toByteArray();
	}

	/**
	 * Adds to an entry for the log how long it waited until it was appended.
	 * @param encoded the bytes of the entry
	 * @param waited how long
	 * @return the bytes of both
	 */
	public static byte[] withAppendDelay(byte[] encoded, Duration waited) {
		// Bytes of two messages of one kind in a row are those of both.
		byte[] more = RelayProtocol.RelayEntry.newBuilder().setLate((int) waited.toMillis()).build().toByteArray();
		byte[] both = Arrays.copyOf(encoded, encoded.length + more.length);
		System.arraycopy(more, 0, both, encoded.length, more.length);
		return both;
	}

	/**
	 * Writes the text of a turn for the log.
	 * @param turn the turn
	 * @return its bytes
	 */
	public static byte[] encode(TurnText turn) {
		return message(turn).toByteArray();
	}

	/**
	 * Reads the text of a turn.
	 * @param bytes its bytes
	 * @return the reason why they are none on the left, or the turn on the right
	 */
	public static Either<String, TurnText> decodeText(byte[] bytes) {
		try {
			RelayProtocol.KeptText message = RelayProtocol.KeptText.parseFrom(bytes);
			return message.getRequest().isEmpty() ? Either.left("a text without a turn") : Either.right(turn(message));
		}
		catch (InvalidProtocolBufferException ex) {
			return Either.left(ex.getMessage());
		}
	}

	/**
	 * Writes a message to another relay.
	 * @param message the message
	 * @return its bytes
	 */
	public static byte[] encode(PeerMessage message) {
		RelayProtocol.PeerMessage.Builder builder = RelayProtocol.PeerMessage.newBuilder();
		switch (message) {
			case PeerMessage.Greeting greeting -> builder.getGreetingBuilder().setAddress(greeting.address());
			case PeerMessage.Batch batch ->
				batch.entries().forEach((entry) -> builder.getBatchBuilder().addEntries(message(entry)));
			case PeerMessage.TurnWriteRequest help ->
				builder.getHelpBuilder().setEnd(message(help.settlement())).setText(message(help.text()));
			case PeerMessage.TextsRequest wanted -> builder.getTextsWantedBuilder().addAllRequest(wanted.requests());
			case PeerMessage.Texts texts ->
				texts.turns().forEach((turn) -> builder.getTextsBuilder().addTurns(message(turn)));
			case PeerMessage.TurnWriteAck stored -> builder.getStoredBuilder().addAllRequest(stored.requests());
			case PeerMessage.ReservationRequest question -> builder.getQuestionBuilder()
				.setRequest(question.request())
				.setProgram(question.program())
				.setMost(question.maxTokens())
				.setBudget(question.budget())
				.setPlace(question.throughLog());
			case PeerMessage.Usage taken -> {
				RelayProtocol.Taken.Builder answer = builder.getTakenBuilder()
					.setRequest(taken.request())
					.setTokens(taken.tokens())
					.setUnlogged(taken.uncommitted())
					.setLog(taken.logReachable());
				taken.loads().forEach((load) -> answer.addLoads(message(load)));
			}
			case PeerMessage.TextLocationsRequest wanted ->
				builder.getPlacesWantedBuilder().addRequest(wanted.request());
			case PeerMessage.TextLocations places ->
				places.turns().forEach((turn) -> builder.getPlacesBuilder().addTurns(message(turn)));
			case PeerMessage.UsageUnavailable unsure -> builder.getUnsureBuilder().setRequest(unsure.request());
			case PeerMessage.SyncRequest ignored -> builder.getSyncBuilder();
			case PeerMessage.LogDecision place ->
				builder.getPlaceBuilder().setRequest(place.request()).setHeld(place.admitted());
			case PeerMessage.SyncComplete ignored -> builder.getToldBuilder();
			case PeerMessage.PermitsRequest ask -> builder.setPermitRequest(PermitCodec.message(ask.request()));
			case PeerMessage.PermitsGranted reply -> builder.setPermitReply(PermitCodec.message(reply.reply()));
			case PeerMessage.Unknown ignored -> {
				// Only read, never written.
			}
			case PeerMessage.Heartbeat ignored -> builder.getPulseBuilder();
		}
		return builder.build().toByteArray();
	}

	/**
	 * Reads a message of another relay.
	 * @param bytes its bytes
	 * @return the reason why they are none on the left, or the message on the right
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
				case STORED ->
					Either.right(new PeerMessage.TurnWriteAck(Set.copyOf(message.getStored().getRequestList())));
				case QUESTION -> Either.right(reservationRequest(message.getQuestion()));
				case TAKEN -> Either.right(new PeerMessage.Usage(message.getTaken().getRequest(),
						message.getTaken().getTokens(), message.getTaken().getUnlogged(), message.getTaken().getLog(),
						message.getTaken().getLoadsList().stream().map(RelayCodec::load).toList()));
				case PLACES_WANTED -> (message.getPlacesWanted().getRequestCount() == 1)
						? Either.right(new PeerMessage.TextLocationsRequest(message.getPlacesWanted().getRequest(0)))
						: Either.left("a question for the places of no chain");
				case PLACES -> Either.right(new PeerMessage.TextLocations(
						message.getPlaces().getTurnsList().stream().map(RelayCodec::turnLocation).toList()));
				case UNSURE -> Either.right(new PeerMessage.UsageUnavailable(message.getUnsure().getRequest()));
				case SYNC -> Either.right(new PeerMessage.SyncRequest());
				case PLACE -> Either
					.right(new PeerMessage.LogDecision(message.getPlace().getRequest(), message.getPlace().getHeld()));
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
	 * Writes what a relay says of itself beside its address.
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
	 * Reads what a relay says of itself beside its address. One of an earlier version
	 * says nothing, and counts like the others.
	 * @param address its address
	 * @param bytes what stands there
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

	private static RelayProtocol.PlacedTurn message(TurnLocation turn) {
		return RelayProtocol.PlacedTurn.newBuilder()
			.setRequest(turn.request())
			.setPlace(message(turn.location()))
			.build();
	}

	private static TurnLocation turnLocation(RelayProtocol.PlacedTurn message) {
		return new TurnLocation(message.getRequest(), textLocation(message.getPlace()));
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

	// While relays are replaced by a newer version, their links must hold: a message that
	// is new there is passed over.
	private static Either<String, PeerMessage> unknownMessage(RelayProtocol.PeerMessage message) {
		return message.getUnknownFields().asMap().isEmpty() ? Either.left("a message without content")
				: Either.right(new PeerMessage.Unknown());
	}

	private static Either<String, PeerMessage> turnWriteRequest(RelayProtocol.Help help) {
		return entry(help.getEnd()).flatMap((end) -> (end instanceof LedgerEntry.Settled settled)
				? Either.right(new PeerMessage.TurnWriteRequest(settled, text(help.getText())))
				: Either.left("help with an entry that ends no turn"));
	}

	private static RelayProtocol.KeptText message(TurnText turn) {
		return RelayProtocol.KeptText.newBuilder().setRequest(turn.request()).setText(message(turn.text())).build();
	}

	private static RelayProtocol.TurnText message(StoredTurn text) {
		return RelayProtocol.TurnText.newBuilder()
			.setPrevious(text.previous().orElse(""))
			.setInput(ByteString.copyFrom(text.input()))
			.setOutput(ByteString.copyFrom(text.output()))
			.build();
	}

	private static TurnText turn(RelayProtocol.KeptText message) {
		return new TurnText(message.getRequest(), text(message.getText()));
	}

	private static StoredTurn text(RelayProtocol.TurnText message) {
		return new StoredTurn(nonEmpty(message.getPrevious()), message.getInput().toByteArray(),
				message.getOutput().toByteArray());
	}

	private static Optional<String> nonEmpty(String text) {
		return Optional.of(text).filter((name) -> !name.isEmpty());
	}

	private static PeerMessage reservationRequest(RelayProtocol.Question question) {
		return new PeerMessage.ReservationRequest(question.getRequest(), question.getProgram(), question.getMost(),
				question.getBudget(), question.getPlace());
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
		RelayProtocol.RelayEntry.Builder builder = RelayProtocol.RelayEntry.newBuilder().setRequest(entry.request());
		switch (entry) {
			case LedgerEntry.Reserved reserved -> builder.setReservation(reservation(reserved));
			case LedgerEntry.Settled settled -> builder.setSettlement(settlement(settled));
			case LedgerEntry.UpstreamFailed blamed ->
				builder.getBlameBuilder().setDigest(blamed.digest()).setUpstream(blamed.upstream());
		}
		return builder.build();
	}

	private static RelayProtocol.Reservation reservation(LedgerEntry.Reserved reserved) {
		RelayProtocol.Reservation.Builder builder = RelayProtocol.Reservation.newBuilder()
			.setProgram(reserved.program())
			.setTokens(reserved.maxTokens())
			.setUpstream(reserved.upstream())
			.setContending(reserved.conditional());
		for (PromptPart part : reserved.prompt()) {
			builder.addPrompt(RelayProtocol.Part.newBuilder().setId(part.id()).setTokens(part.tokens()));
		}
		return builder.build();
	}

	private static RelayProtocol.Settlement settlement(LedgerEntry.Settled settled) {
		RelayProtocol.Settlement.Builder builder = RelayProtocol.Settlement.newBuilder()
			.setProgram(settled.program())
			.setTokens(settled.tokens());
		settled.textLocation().ifPresent((place) -> builder.setPlace(message(place)));
		return builder.build();
	}

	private static Either<String, LedgerEntry> entry(RelayProtocol.RelayEntry message) {
		if (message.getRequest().isEmpty()) {
			return Either.left("an entry without a request");
		}
		return switch (message.getEntryCase()) {
			case RESERVATION -> Either.right(reserved(message.getRequest(), message.getReservation()));
			case SETTLEMENT -> Either.right(settled(message.getRequest(), message.getSettlement()));
			case BLAME -> Either.right(new LedgerEntry.UpstreamFailed(message.getRequest(),
					message.getBlame().getDigest(), message.getBlame().getUpstream()));
			case ENTRY_NOT_SET -> Either.left("an entry without content");
		};
	}

	private static LedgerEntry reserved(String request, RelayProtocol.Reservation message) {
		List<PromptPart> prompt = new ArrayList<>();
		for (RelayProtocol.Part part : message.getPromptList()) {
			prompt.add(new PromptPart(part.getId(), part.getTokens()));
		}
		return new LedgerEntry.Reserved(request, message.getProgram(), message.getTokens(), message.getUpstream(),
				prompt, message.getContending());
	}

	private static LedgerEntry settled(String request, RelayProtocol.Settlement message) {
		Optional<TextLocation> place = Optional.of(message)
			.filter(RelayProtocol.Settlement::hasPlace)
			.map((settlement) -> textLocation(settlement.getPlace()));
		return new LedgerEntry.Settled(request, message.getProgram(), message.getTokens(), place);
	}

	private static RelayProtocol.TextPlace message(TextLocation place) {
		return RelayProtocol.TextPlace.newBuilder()
			.setPrevious(place.previous().orElse(""))
			.setBytes(place.bytes())
			.setPart(place.partition())
			.setFrom(place.minOffset())
			.setHolder(place.origin().orElse(""))
			.build();
	}

	private static TextLocation textLocation(RelayProtocol.TextPlace message) {
		return new TextLocation(nonEmpty(message.getPrevious()), message.getBytes(), message.getPart(),
				message.getFrom(), nonEmpty(message.getHolder()));
	}

}
