package io.lentilslip.verification.capacity;

import java.awt.BasicStroke;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;

/**
 * Draws samples and the lines through them. Stateless and safe for use by several
 * threads.
 */
final class SlopesPlot {

	private static final List<String> DRAWN = List.of("ledger-heap-by-programs",
			"ledger-record-with-text-cpu-by-records", "entry-heap-by-sidecars", "entry-call-cpu-by-deltas",
			"sidecar-heap-by-answer-bytes-of-100-turns", "sidecar-call-cpu-by-deltas");

	private static final int COLUMNS = 2;

	private static final int WIDTH = 560;

	private static final int HEIGHT = 340;

	private SlopesPlot() {
	}

	static void write(List<Sample> samples, Path file) throws IOException {
		List<XYChart> charts = DRAWN.stream().map((quantity) -> chart(quantity, samples)).toList();
		BitmapEncoder.saveBitmap(charts, charts.size() / COLUMNS, COLUMNS, file.toString(),
				BitmapEncoder.BitmapFormat.PNG);
	}

	private static XYChart chart(String quantity, List<Sample> samples) {
		List<Sample> drawn = samples.stream().filter((sample) -> sample.quantity().equals(quantity)).toList();
		Fit fit = Fit.through(quantity, drawn.getFirst().unit(), drawn);
		XYChart chart = new XYChartBuilder().width(WIDTH)
			.height(HEIGHT)
			.title(quantity)
			.xAxisTitle("size")
			.yAxisTitle(fit.unit().name().toLowerCase(Locale.ROOT))
			.build();
		chart.getStyler().setLegendPosition(Styler.LegendPosition.InsideNW);
		double[] sizes = drawn.stream().mapToDouble(Sample::size).toArray();
		XYSeries points = chart.addSeries("samples", sizes, drawn.stream().mapToDouble(Sample::value).toArray());
		points.setXYSeriesRenderStyle(XYSeries.XYSeriesRenderStyle.Scatter);
		double last = drawn.stream().mapToInt(Sample::size).max().orElseThrow();
		XYSeries line = chart.addSeries("fit", new double[] { 0, last }, new double[] { fit.at(0), fit.at(last) });
		line.setMarker(SeriesMarkers.NONE).setLineStyle(new BasicStroke(1));
		return chart;
	}

}
