package io.lentilslip.verification.fault;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import io.lentilslip.verification.process.Caller;
import io.lentilslip.verification.process.ChatCall;
import io.lentilslip.verification.process.Http;
import io.lentilslip.verification.process.ProcessLogs;
import io.lentilslip.verification.process.RunningProcess;
import io.lentilslip.verification.process.Site;
import io.lentilslip.verification.process.SitePlan;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What tests have in common that bring a fault about in a site of their own.
 */
abstract class SiteFixture {

	static final ChatCall NOTHING = new ChatCall(List.of(), Map.of());

	static final String PROGRAM = "voyage";

	static final int LONG = 300;

	static final int UNDER_WAY = 20;

	@RegisterExtension
	private final ProcessLogs logs = new ProcessLogs(() -> this.site);

	@TempDir
	private Path folder;

	private Site site;

	Site start(SitePlan plan) {
		this.site = Site.start(this.folder, plan);
		return this.site;
	}

	@AfterEach
	void stop() {
		if (this.site != null) {
			this.site.close();
		}
	}

	Caller caller() {
		return this.site.caller();
	}

	/**
	 * Returns a question whose answer has a number of words.
	 */
	static String question(int turn, int words) {
		return "question " + turn + " [[tokens:" + words + "]]";
	}

	/**
	 * Returns the answer to a conversation that nothing disturbs. The engines' words
	 * depend on every message before them, so an answer that equals it was given to the
	 * whole history, without a gap and without a word twice.
	 */
	String undisturbed(RunningProcess entry, ChatCall conversation) {
		return content(caller().chat(entry, conversation));
	}

	/**
	 * Takes a turn and returns its conversation with the answer.
	 */
	ChatCall takeTurn(RunningProcess entry, ChatCall before, int number) {
		String question = question(number, UNDER_WAY);
		HttpResponse<String> answer = caller().chat(entry, ChatCall.of(question).turn(PROGRAM, number));
		assertThat(content(answer)).isEqualTo(undisturbed(entry, before.then("user", question)));
		return before.then("user", question).then("assistant", content(answer));
	}

	static String content(HttpResponse<String> answer) {
		assertThat(answer.statusCode()).as(answer.body()).isEqualTo(200);
		return Http.json(answer).path("choices").path(0).path("message").path("content").asText();
	}

	static String durability(HttpResponse<String> answer) {
		return answer.headers().firstValue("Lentilslip-Durability").orElse("");
	}

	static String verdict(HttpResponse<String> answer) {
		return Http.json(answer).path("verdict").asText();
	}

	static String code(HttpResponse<String> answer) {
		return Http.json(answer).path("error").path("code").asText();
	}

}
