package io.lentilslip.application.command;

import java.io.IOException;
import java.nio.file.Path;
import java.util.UUID;

import io.lentilslip.standin.http.Availability;
import io.lentilslip.standin.log.LogServiceStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigPublishCommandTests {

	private final LogServiceStandIn log = LogServiceStandIn.start();

	private final String address = "127.0.0.1:" + this.log.address().getPort();

	@TempDir
	private Path folder;

	@AfterEach
	void stop() {
		this.log.close();
	}

	private CommandRun publish(int share, String... options) throws IOException {
		String[] words = { "config", "publish", CommandRun.configuration(this.folder, share), "--log", this.address };
		String[] all = new String[words.length + options.length];
		System.arraycopy(words, 0, all, 0, words.length);
		System.arraycopy(options, 0, all, words.length, options.length);
		return CommandRun.of(all);
	}

	@Test
	void publishedFolderIsShownWithItsOrigins() throws IOException {
		assertThat(publish(7).out()).contains("published as version 0");
		CommandRun shown = CommandRun.of("config", "show", "--log", this.address);
		assertThat(shown.code()).isEqualTo(ExitCode.OK);
		assertThat(shown.out()).contains("# version 0", "# 10-site.ini:6", "share = 7", "# default");
	}

	// Two operators publish from version 0. The second one is told that it lost, and to
	// which version; the log keeps the first one's.
	@Test
	void secondOfTwoOperatorsLoses() throws IOException {
		publish(1);
		assertThat(publish(2, "--base", "0").out()).contains("version 1");
		CommandRun lost = publish(3, "--base", "0");
		assertThat(lost.code()).isEqualTo(ExitCode.LOST);
		assertThat(lost.err()).contains("lost to version 1");
		assertThat(CommandRun.of("config", "show", "--log", this.address).out()).contains("share = 2");
	}

	// The log stores the record and resets the connection in place of an answer. The
	// command reads its own record back and says "published".
	@Test
	void lostAnswerIsNoFailure() throws IOException {
		this.log.loseAnswers(1);
		CommandRun run = publish(1);
		assertThat(run.code()).isEqualTo(ExitCode.OK);
		assertThat(run.out()).contains("published as version 0");
	}

	@Test
	void repeatedPublicationCountsOnce() throws IOException {
		String publication = UUID.randomUUID().toString();
		publish(1, "--publication", publication);
		CommandRun again = publish(1, "--publication", publication);
		assertThat(again.out()).contains("published as version 0");
		assertThat(this.log.next("configuration")).isOne();
	}

	@Test
	void logThatIsDownIsToldAsNotPublished() throws IOException {
		this.log.setAvailability(new Availability.Refusing());
		CommandRun run = publish(1);
		assertThat(run.code()).isEqualTo(ExitCode.UNAVAILABLE);
		assertThat(run.err()).contains("not published");
	}

	@Test
	void folderWithProblemsIsNotSent() throws IOException {
		CommandRun run = publish(0);
		assertThat(run.code()).isEqualTo(ExitCode.REFUSED);
		assertThat(run.err()).contains("10-site.ini:6");
		assertThat(this.log.next("configuration")).isZero();
	}

}
