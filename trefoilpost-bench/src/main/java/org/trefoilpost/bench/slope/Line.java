package org.trefoilpost.bench.slope;

import java.util.Arrays;

/**
 * The straight line with the least squared distance from measured points.
 */
final class Line {
    private final double intercept;
    private final double slope;
    private final double spread;

    private Line(double intercept, double slope, double spread) {
        this.intercept = intercept;
        this.slope = slope;
        this.spread = spread;
    }

    /**
     * Fits a line.
     *
     * @param sizes  the sizes, at least two different ones, not null
     * @param values  the value at each size, not null
     * @return the line, not null
     * @throws IllegalArgumentException if the counts differ or all sizes are equal
     */
    static Line fit(double[] sizes, double[] values) {
        if (sizes.length != values.length) {
            throw new IllegalArgumentException(sizes.length + " sizes, but " + values.length + " values");
        }
        double meanSize = Arrays.stream(sizes).average().orElse(0);
        double meanValue = Arrays.stream(values).average().orElse(0);
        double products = 0;
        double squares = 0;
        for (int i = 0; i < sizes.length; i++) {
            products += (sizes[i] - meanSize) * (values[i] - meanValue);
            squares += (sizes[i] - meanSize) * (sizes[i] - meanSize);
        }
        if (squares == 0) {
            throw new IllegalArgumentException("a line needs two different sizes");
        }
        double slope = products / squares;
        double intercept = meanValue - slope * meanSize;
        double spread = 0;
        for (int i = 0; i < sizes.length; i++) {
            spread = Math.max(spread, Math.abs(values[i] - intercept - slope * sizes[i]));
        }
        return new Line(intercept, slope, spread);
    }

    /** Returns the value at size 0. */
    double intercept() {
        return intercept;
    }

    /** Returns how much the value grows with a unit of size. */
    double slope() {
        return slope;
    }

    /** Returns the largest distance of a point from the line. */
    double spread() {
        return spread;
    }
}
