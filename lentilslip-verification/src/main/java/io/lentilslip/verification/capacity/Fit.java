package io.lentilslip.verification.capacity;

import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A straight line through the samples of one quantity, by least squares. Immutable and
 * safe for use by several threads.
 *
 * @param quantity what was measured
 * @param unit the unit of the values
 * @param points the number of samples
 * @param slope the growth of the value with the size
 * @param slopeError the standard error of the slope
 * @param intercept the value at size 0
 * @param rSquared the share of the spread that the line explains, or 1 where the values
 * do not differ
 */
public record Fit(String quantity, Sample.Unit unit, long points, double slope, double slopeError, double intercept,
		double rSquared) {

	/**
	 * Returns the line through some samples.
	 * @param quantity what was measured
	 * @param unit the unit of the values
	 * @param samples the samples, at two sizes or more
	 * @return the line
	 */
	static Fit through(String quantity, Sample.Unit unit, Iterable<Sample> samples) {
		SimpleRegression regression = new SimpleRegression();
		samples.forEach((sample) -> regression.addData(sample.size(), sample.value()));
		double rSquared = (regression.getTotalSumSquares() > 0) ? regression.getRSquare() : 1;
		return new Fit(quantity, unit, regression.getN(), regression.getSlope(), regression.getSlopeStdErr(),
				regression.getIntercept(), rSquared);
	}

	/**
	 * Returns the value that the line has at a size.
	 * @param size the size
	 * @return the value
	 */
	double at(double size) {
		return this.intercept + this.slope * size;
	}

}
