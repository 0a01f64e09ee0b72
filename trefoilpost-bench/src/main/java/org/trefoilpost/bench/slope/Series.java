package org.trefoilpost.bench.slope;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The measured values of one quantity against a size.
 */
final class Series {
    private final String title;
    private final String size;
    private final String[] quantities;
    private final List<double[]> rows = new ArrayList<>();

    /**
     * Creates an empty series.
     *
     * @param title  what is measured, not null
     * @param size  the name of the size, not null
     * @param quantities  the names of the measured values with their units, not null
     */
    Series(String title, String size, String... quantities) {
        this.title = title;
        this.size = size;
        this.quantities = quantities.clone();
    }

    /** Adds the values at a size: the size first. */
    void add(double... row) {
        rows.add(row.clone());
    }

    /** Prints the points and the line of each quantity. */
    void print(PrintStream out) {
        out.println();
        out.println("### " + title);
        out.println();
        out.println("| " + size + " | " + String.join(" | ", quantities) + " |");
        out.println("|" + "---|".repeat(quantities.length + 1));
        rows.forEach(row -> printRow(out, row));
        out.println();
        for (int i = 0; i < quantities.length; i++) {
            Line line = line(i);
            out.printf(
                    Locale.ROOT,
                    "%s: %.4g + %.4g per unit, largest distance of a point %.3g%n",
                    quantities[i],
                    line.intercept(),
                    line.slope(),
                    line.spread());
        }
    }

    private static void printRow(PrintStream out, double[] row) {
        StringBuilder text = new StringBuilder("|");
        for (double value : row) {
            text.append(String.format(Locale.ROOT, value < 100 && value % 1 != 0 ? " %.2f |" : " %.0f |", value));
        }
        out.println(text);
    }

    private Line line(int quantity) {
        double[] sizes = rows.stream().mapToDouble(row -> row[0]).toArray();
        double[] values = rows.stream().mapToDouble(row -> row[quantity + 1]).toArray();
        return Line.fit(sizes, values);
    }
}
