package io.lentilslip.verification.capacity;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

import io.lentilslip.telemetry.LogSettings;

/**
 * The command that measures all slopes and writes them into a folder.
 */
public final class MeasureSlopes {

	private MeasureSlopes() {
	}

	/**
	 * Measures all slopes.
	 * @param arguments the folder for the results
	 * @throws IOException if the results cannot be written
	 */
	public static void main(String[] arguments) throws IOException {
		LogSettings.defaults().apply();
		Path folder = Path.of(arguments[0]);
		Meter meter = new Meter();
		LedgerSlopes.measure(meter);
		EntrySlopes.measure(meter);
		SidecarSlopes.measure(meter);
		WireSlopes.measure(meter);
		LinkSlopes.measure(meter);
		List<Sample> samples = meter.samples();
		new ResultFiles(folder).write(samples);
		SlopesPlot.write(samples, folder.resolve("slopes.png"));
	}

}
