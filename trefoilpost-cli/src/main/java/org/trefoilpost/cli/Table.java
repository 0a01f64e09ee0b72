package org.trefoilpost.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * Rows of text in aligned columns.
 */
final class Table {
    private static final String ABSENT_CELL = "-";
    private static final int COLUMN_GAP_CHARACTERS = 2;

    private final List<List<String>> rows = new ArrayList<>();

    /** Makes a table of the given fields of each element; an absent field is shown as a hyphen. */
    static Table of(JsonNode list, List<String> fields) {
        Table table = new Table();
        table.rows.add(fields);
        list.forEach(element -> table.rows.add(
                fields.stream().map(field -> cell(element, field)).toList()));
        return table;
    }

    /** Returns the text of a field, whose name may have dots, or a hyphen. */
    static String cell(JsonNode node, String field) {
        JsonNode value = node;
        for (String name : field.split("\\.")) {
            value = value.path(name);
        }
        if (value.isMissingNode() || value.isNull()) {
            return ABSENT_CELL;
        }
        return value.isValueNode() ? value.asText() : value.toString();
    }

    String text() {
        StringBuilder text = new StringBuilder();
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int column = 0; column < row.size(); column++) {
                line.append(row.get(column));
                line.append(" ".repeat(width(column) - row.get(column).length() + COLUMN_GAP_CHARACTERS));
            }
            text.append(line.toString().stripTrailing()).append('\n');
        }
        return text.toString();
    }

    private int width(int column) {
        return rows.stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
    }
}
