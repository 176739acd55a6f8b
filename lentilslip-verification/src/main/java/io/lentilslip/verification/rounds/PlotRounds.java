package io.lentilslip.verification.rounds;

import java.awt.BasicStroke;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.Styler;

/**
 * Draws the scores of all rounds, a chart for each site: the site's score as a thick
 * line, those of its days as thin ones. Stateless and safe for use by several threads.
 */
public final class PlotRounds {

	private static final int WIDTH = 560;

	private static final int HEIGHT = 340;

	private static final float THICK = 3;

	private static final String SITE = "site";

	private PlotRounds() {
	}

	/**
	 * Reads a journal and writes a picture.
	 * @param arguments the journal's folder and the file of the picture
	 * @throws IOException if one can't be read or written
	 */
	public static void main(String[] arguments) throws IOException {
		write(Round.read(Path.of(arguments[0])), Path.of(arguments[1]));
	}

	static void write(List<Round> rounds, Path picture) throws IOException {
		List<XYChart> charts = new ArrayList<>();
		Set<String> sites = new LinkedHashSet<>(rounds.stream().map(Round::site).toList());
		for (String site : sites) {
			charts.add(chart(site, rounds.stream().filter((round) -> round.site().equals(site)).toList()));
		}
		BitmapEncoder.saveBitmap(charts, 1, charts.size(), picture.toString(), BitmapEncoder.BitmapFormat.PNG);
	}

	private static XYChart chart(String site, List<Round> rounds) {
		XYChart chart = new XYChartBuilder().width(WIDTH)
			.height(HEIGHT)
			.title(site)
			.xAxisTitle("round")
			.yAxisTitle("score")
			.build();
		chart.getStyler().setLegendPosition(Styler.LegendPosition.InsideSE);
		chart.getStyler().setYAxisMin(0.0).setYAxisMax(1.0);
		lines(rounds).forEach((name, line) -> {
			BasicStroke stroke = new BasicStroke(name.equals(SITE) ? THICK : 1);
			chart.addSeries(name, line.rounds(), line.scores()).setLineStyle(stroke);
		});
		return chart;
	}

	private static Map<String, Line> lines(List<Round> rounds) {
		Map<String, Line> lines = new LinkedHashMap<>();
		for (int i = 0; i < rounds.size(); i++) {
			int number = i + 1;
			lines.computeIfAbsent(SITE, (name) -> Line.empty()).add(number, rounds.get(i).score());
			for (Round.Day day : rounds.get(i).days()) {
				lines.computeIfAbsent(day.name(), (name) -> Line.empty()).add(number, day.score());
			}
		}
		return lines;
	}

	/**
	 * The points of one line. Used by one thread.
	 *
	 * @param rounds the numbers of the rounds
	 * @param scores the scores
	 */
	private record Line(List<Integer> rounds, List<Double> scores) {

		static Line empty() {
			return new Line(new ArrayList<>(), new ArrayList<>());
		}

		void add(int round, double score) {
			this.rounds.add(round);
			this.scores.add(score);
		}

	}

}
