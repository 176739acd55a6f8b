package io.lentilslip.verification.fault;

import java.net.http.HttpResponse;

import io.lentilslip.standin.http.Availability;
import io.lentilslip.verification.process.ChatCall;
import io.lentilslip.verification.process.RunningProcess;
import io.lentilslip.verification.process.Site;
import io.lentilslip.verification.process.SitePlan;
import io.lentilslip.verification.process.Waiting;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What callers see while the log service does not answer.
 */
class LogOutageTests extends SiteFixture {

	// While the log is down a call with a key can't be claimed and is refused. The entry
	// can't know whether an earlier attempt ran, so it must not say that none did.
	@Test
	void keyedCallIsRefusedWithoutAFalsePromise() {
		Site site = start(SitePlan.of(2, 0, 1));
		site.log().setAvailability(new Availability.Refusing());
		HttpResponse<String> refused = caller().service(site.entry(1), "ring-1", "{}");
		assertThat(refused.statusCode()).as(refused.body()).isEqualTo(503);
		assertThat(verdict(refused)).isEqualTo("may_have_run");
		assertThat(site.serviceRuns("ring-1")).isZero();
		site.log().setAvailability(new Availability.Up());
		Waiting.until("the call to run", () -> caller().service(site.entry(2), "ring-1", "{}").statusCode() == 200);
		assertThat(site.serviceRuns("ring-1")).isEqualTo(1);
	}

	// A conversation under way goes on while the log is down: its turns are answered as
	// pending. When the log is back they are written without a further call, and the
	// death of the home then loses none of them.
	@Test
	void conversationGoesOnAsPending() {
		Site site = start(SitePlan.of(2, 2, 0));
		ChatCall conversation = takeTurn(site.entry(1), NOTHING, 1);
		site.log().setAvailability(new Availability.Refusing());
		for (int turn = 2; turn <= 3; turn++) {
			HttpResponse<String> answer = caller().chat(site.entry(1 + turn % 2),
					ChatCall.of(question(turn, UNDER_WAY)).turn(PROGRAM, turn));
			assertThat(durability(answer)).as(answer.body()).isEqualTo("pending");
			conversation = conversation.then("user", question(turn, UNDER_WAY)).then("assistant", content(answer));
		}
		RunningProcess home = site.home();
		site.log().setAvailability(new Availability.Up());
		Waiting.until("the turns to be written", () -> home.status().path("pending_turns").asInt() == 0);
		home.kill();
		takeTurn(site.entry(2), conversation, 4);
	}

	// The log takes each record of a while but loses the answers, so every append is
	// sent again. The copies must be void: the turn stands once in the history.
	@Test
	void answersOfTheLogAreLost() {
		Site site = start(SitePlan.of(2, 2, 0));
		ChatCall conversation = takeTurn(site.entry(1), NOTHING, 1);
		site.log().loseAnswers(2);
		conversation = takeTurn(site.entry(2), conversation, 2);
		site.home().kill();
		takeTurn(site.entry(1), conversation, 3);
	}

}
