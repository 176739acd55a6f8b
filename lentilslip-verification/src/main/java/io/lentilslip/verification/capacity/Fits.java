package io.lentilslip.verification.capacity;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SequencedMap;

/**
 * The lines through all measured quantities, in the order of their measurement. Immutable
 * and safe for use by several threads.
 */
public final class Fits {

	private final SequencedMap<String, Fit> fits;

	private Fits(List<Fit> fits) {
		this.fits = new LinkedHashMap<>();
		fits.forEach((fit) -> this.fits.put(fit.quantity(), fit));
	}

	/**
	 * Returns some lines.
	 * @param fits the lines, one for each quantity
	 * @return the lines together
	 */
	static Fits of(List<Fit> fits) {
		return new Fits(fits);
	}

	/**
	 * Returns the lines through some samples.
	 * @param samples the samples
	 * @return one line for each quantity
	 */
	static Fits through(List<Sample> samples) {
		Map<String, List<Sample>> byQuantity = new LinkedHashMap<>();
		samples
			.forEach((sample) -> byQuantity.computeIfAbsent(sample.quantity(), (key) -> new ArrayList<>()).add(sample));
		return of(byQuantity.entrySet()
			.stream()
			.map((entry) -> Fit.through(entry.getKey(), entry.getValue().getFirst().unit(), entry.getValue()))
			.toList());
	}

	/**
	 * Returns the line of a quantity.
	 * @param quantity the quantity
	 * @return the line
	 * @throws IllegalArgumentException if the quantity was not measured
	 */
	Fit of(String quantity) {
		Fit fit = this.fits.get(quantity);
		if (fit == null) {
			throw new IllegalArgumentException("not measured: " + quantity);
		}
		return fit;
	}

	/**
	 * Returns all lines.
	 * @return the lines, in the order of their measurement
	 */
	List<Fit> all() {
		return List.copyOf(this.fits.values());
	}

}
