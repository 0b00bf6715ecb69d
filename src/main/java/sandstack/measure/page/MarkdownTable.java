package sandstack.measure.page;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Builds a Markdown table row by row. */
final class MarkdownTable {
    private final List<String> lines = new ArrayList<>();
    private final int columns;

    MarkdownTable(String... headers) {
        columns = headers.length;
        row(headers);
        lines.add("|" + " --- |".repeat(columns));
    }

    /** Adds a row and returns this table; requires one cell for each column. */
    MarkdownTable row(String... cells) {
        if (cells.length != columns) {
            throw new IllegalArgumentException(cells.length + " cells, number of columns is " + columns);
        }
        List<String> escaped =
                Arrays.stream(cells).map(c -> c.replace("|", "\\|")).toList();
        lines.add("| " + String.join(" | ", escaped) + " |");
        return this;
    }

    /** The table without a trailing line break. */
    String text() {
        return String.join("\n", lines);
    }
}
