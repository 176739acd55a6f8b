package io.lentilslip.verification.fault;

import java.net.http.HttpResponse;

import io.lentilslip.standin.http.Availability;
import io.lentilslip.verification.fault.FaultProxy.Direction;
import io.lentilslip.verification.process.ChatCall;
import io.lentilslip.verification.process.RunningProcess;
import io.lentilslip.verification.process.Site;
import io.lentilslip.verification.process.SitePlan;
import io.lentilslip.verification.process.StreamedAnswer;
import io.lentilslip.verification.process.Waiting;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What callers see when the home of their program is killed, paused or cut off.
 */
class HomeFaultTests extends SiteFixture {

	// The caller reads a stream whose sidecar dies. The entry claims the next epoch for
	// another sidecar, which reads the history from the log and continues the answer
	// after the words that the caller has. The caller sees one whole stream, and the
	// next turn stands on all that was said.
	@Test
	void homeKilledInTheMiddleOfAStream() {
		Site site = start(SitePlan.of(2, 2, 0));
		ChatCall conversation = takeTurn(site.entry(1), NOTHING, 1);
		StreamedAnswer stream = beginSecondTurn(site);
		site.home().kill();
		goesOnElsewhere(site, conversation, stream);
	}

	// The VM of the home freezes in the middle of a stream; another home takes over and
	// ends the turn. Then the first one wakes up, ends the same turn and writes it: a
	// record of an old epoch, which must not count, nor may it serve the program again.
	@Test
	void homePausedTakenOverAndResumed() {
		Site site = start(SitePlan.of(2, 2, 0));
		ChatCall conversation = takeTurn(site.entry(1), NOTHING, 1);
		StreamedAnswer stream = beginSecondTurn(site);
		RunningProcess first = site.home();
		first.pause();
		ChatCall longer = goesOnElsewhere(site, conversation, stream);
		first.resume();
		Waiting.until("the old home to know",
				() -> first.status().path("homes").asInt() == 0 && first.status().path("pending_turns").asInt() == 0);
		takeTurn(site.entry(2), longer, 4);
	}

	// Bytes between the entries and the home are lost in one direction, while those of
	// the other arrive: one side believes in the link. The stream goes on at another
	// sidecar all the same, and the cut-off one's words are not mixed in.
	@ParameterizedTest
	@EnumSource(Direction.class)
	void lossInOneDirection(Direction direction) {
		Site site = start(SitePlan.of(2, 2, 0));
		ChatCall conversation = takeTurn(site.entry(1), NOTHING, 1);
		StreamedAnswer stream = beginSecondTurn(site);
		site.link(site.home().vm()).set(new FaultProxy.Fault.Loss(direction));
		goesOnElsewhere(site, conversation, stream);
	}

	// The log is down, so the second turn is answered as pending and only its home has
	// it; then that home dies. Nobody can become home while the log is down. When it is
	// back, the third turn must not go on from the shorter history: its number shows the
	// gap. The caller sends the second turn again, and the conversation is whole.
	@Test
	void logDownAndHomeKilled() {
		Site site = start(SitePlan.of(2, 2, 0));
		ChatCall conversation = takeTurn(site.entry(1), NOTHING, 1);
		site.log().setAvailability(new Availability.Refusing());
		ChatCall second = ChatCall.of(question(2, UNDER_WAY)).turn(PROGRAM, 2);
		HttpResponse<String> pending = caller().chat(site.entry(1), second);
		assertThat(content(pending)).isNotEmpty();
		assertThat(durability(pending)).isEqualTo("pending");
		site.home().kill();
		ChatCall third = ChatCall.of(question(3, UNDER_WAY)).turn(PROGRAM, 3);
		HttpResponse<String> refused = caller().chat(site.entry(2), third);
		assertThat(refused.statusCode()).as(refused.body()).isEqualTo(503);
		site.log().setAvailability(new Availability.Up());
		Waiting.until("the third turn to be refused for its number",
				() -> code(caller().chat(site.entry(2), third)).equals("out_of_order"));
		ChatCall longer = takeTurn(site.entry(2), conversation, 2);
		takeTurn(site.entry(1), longer, 3);
	}

	private StreamedAnswer beginSecondTurn(Site site) {
		StreamedAnswer stream = caller().stream(site.entry(1), ChatCall.of(question(2, LONG)).turn(PROGRAM, 2));
		stream.awaitWords(UNDER_WAY);
		return stream;
	}

	private ChatCall goesOnElsewhere(Site site, ChatCall conversation, StreamedAnswer stream) {
		stream.awaitEnd();
		assertThat(stream.isWhole()).as(stream.toString()).isTrue();
		ChatCall asked = conversation.then("user", question(2, LONG));
		assertThat(stream.text()).isEqualTo(undisturbed(site.entry(2), asked));
		return takeTurn(site.entry(2), asked.then("assistant", stream.text()), 3);
	}

}
