package io.lentilslip.verification.capacity;

import java.io.IOException;
import java.io.Reader;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;

import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;
import org.apache.commons.csv.CSVRecord;

/**
 * The files that hold the samples and the lines through them. Immutable and safe for use
 * by several threads, as long as nobody else writes into the folder.
 *
 * @param folder the folder of the files
 */
public record ResultFiles(Path folder) {

	private static final CSVFormat WRITTEN = CSVFormat.DEFAULT.builder().setRecordSeparator('\n').get();

	private static final CSVFormat READ = WRITTEN.builder().setHeader().setSkipHeaderRecord(true).get();

	/**
	 * Writes the samples and the lines through them.
	 * @param samples the samples
	 * @throws IOException if a file cannot be written
	 */
	public void write(List<Sample> samples) throws IOException {
		Files.createDirectories(this.folder);
		List<List<?>> lines = new ArrayList<>();
		lines.add(List.of("quantity", "size", "value", "unit", "repetition"));
		samples.forEach((sample) -> lines
			.add(List.of(sample.quantity(), sample.size(), text(sample.value()), sample.unit(), sample.repetition())));
		print("slopes.csv", lines);
		print("fits.csv", table(Fits.through(samples)));
	}

	private static List<List<?>> table(Fits fits) {
		List<List<?>> lines = new ArrayList<>();
		lines.add(List.of("quantity", "unit", "points", "slope", "slope_error", "intercept", "r_squared"));
		fits.all()
			.forEach((fit) -> lines.add(List.of(fit.quantity(), fit.unit(), fit.points(), text(fit.slope()),
					text(fit.slopeError()), text(fit.intercept()), text(fit.rSquared()))));
		return lines;
	}

	private static String text(double value) {
		return String.format(Locale.ROOT, "%.4f", value);
	}

	private void print(String name, List<List<?>> lines) throws IOException {
		try (Writer writer = Files.newBufferedWriter(this.folder.resolve(name));
				CSVPrinter printer = new CSVPrinter(writer, WRITTEN)) {
			printer.printRecords(lines);
		}
	}

	/**
	 * Returns the samples in the folder.
	 * @return the samples, in the order of their measurement
	 */
	public List<Sample> samples() {
		return read("slopes.csv",
				(line) -> new Sample(line.get("quantity"), Integer.parseInt(line.get("size")), number(line, "value"),
						Sample.Unit.valueOf(line.get("unit")), Integer.parseInt(line.get("repetition"))));
	}

	/**
	 * Returns the lines in the folder.
	 * @return the lines, in the order of their measurement
	 */
	public Fits fits() {
		return Fits.of(read("fits.csv",
				(line) -> new Fit(line.get("quantity"), Sample.Unit.valueOf(line.get("unit")),
						Long.parseLong(line.get("points")), number(line, "slope"), number(line, "slope_error"),
						number(line, "intercept"), number(line, "r_squared"))));
	}

	private static double number(CSVRecord line, String column) {
		return Double.parseDouble(line.get(column));
	}

	private <T> List<T> read(String name, Function<CSVRecord, T> reading) {
		try (Reader reader = Files.newBufferedReader(this.folder.resolve(name))) {
			return READ.parse(reader).stream().map(reading).toList();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
