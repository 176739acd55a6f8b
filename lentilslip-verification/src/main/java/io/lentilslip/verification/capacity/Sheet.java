package io.lentilslip.verification.capacity;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;

/**
 * Collects figures. Each line and assumption that is looked up belongs to the figure that
 * is added next, so that a page cannot name others than those used. Not safe for use by
 * several threads.
 */
final class Sheet {

	private final Fits fits;

	private final List<Figure> figures = new ArrayList<>();

	private final Set<Fit> usedFits = new LinkedHashSet<>();

	private final Set<Assumption> usedAssumptions = new LinkedHashSet<>();

	private String role = "";

	Sheet(Fits fits) {
		this.fits = fits;
	}

	List<Figure> figures() {
		return List.copyOf(this.figures);
	}

	void of(String name) {
		this.role = name;
	}

	double slope(String quantity) {
		return fit(quantity).slope();
	}

	double at(String quantity, double size) {
		return fit(quantity).at(size);
	}

	private Fit fit(String quantity) {
		Fit fit = this.fits.of(quantity);
		this.usedFits.add(fit);
		return fit;
	}

	double assume(Assumption assumption) {
		this.usedAssumptions.add(assumption);
		return assumption.value();
	}

	void add(String matter, double value, Figure.Unit unit, String step) {
		add(matter, value, unit, OptionalDouble.empty(), step);
	}

	void addWithin(double limit, String matter, double value, Figure.Unit unit, String step) {
		add(matter, value, unit, OptionalDouble.of(limit), step);
	}

	private void add(String matter, double value, Figure.Unit unit, OptionalDouble limit, String step) {
		this.figures.add(new Figure(this.role, matter, value, unit, limit, step, List.copyOf(this.usedFits),
				List.copyOf(this.usedAssumptions)));
		this.usedFits.clear();
		this.usedAssumptions.clear();
	}

}
