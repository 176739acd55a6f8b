package io.lentilslip.verification.rounds;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import javax.imageio.ImageIO;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class PlotRoundsTests {

	@TempDir
	private Path folder;

	@Test
	void wholeScoresAreReadInOrderOfTime() throws Exception {
		play("b", "score", true, "2026-12-02T22:00:00Z", 0.9);
		play("a", "score", true, "2026-12-02T20:00:00Z", 0.7);
		play("c", "score", false, "2026-12-02T23:00:00Z", 0.1);
		play("d", "hunt", true, "2026-12-02T23:00:00Z", 0.1);
		List<Round> rounds = Round.read(this.folder);
		assertThat(rounds).extracting(Round::score).containsExactly(0.7, 0.9);
		assertThat(rounds.getFirst().days()).containsExactly(new Round.Day("quiet-1", 0.5));
	}

	@Test
	void pictureIsDrawn() throws Exception {
		play("a", "score", true, "2026-12-02T20:00:00Z", 0.7);
		Path picture = this.folder.resolve("rounds.png");
		PlotRounds.write(Round.read(this.folder), picture);
		assertThat(ImageIO.read(picture.toFile()).getWidth()).isPositive();
	}

	private void play(String name, String command, boolean whole, String began, double score) throws Exception {
		Files.writeString(this.folder.resolve(name + ".json"), """
				{"cmd":"%s","ok":%s,"at":["%s",""],"site":"pier","score":%s,
				"days":[{"name":"quiet-1","score":0.5},{"name":"fresh-1","score":1.0}]}
				""".formatted(command, whole, began, score));
	}

}
