package sandstack.measure.page;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Builds a Markdown table. */
final class MarkdownTable {
    private final List<String> lines = new ArrayList<>();
    private final int columns;

    MarkdownTable(String... headers) {
        columns = headers.length;
        row(headers);
        lines.add("|" + " --- |".repeat(columns));
    }

    /** Adds a row and returns this table; there have to be as many cells as columns. */
    MarkdownTable row(String... cells) {
        if (cells.length != columns) {
            throw new IllegalArgumentException(cells.length + " cells in a table of " + columns);
        }
        List<String> escaped =
                Arrays.stream(cells).map(c -> c.replace("|", "\\|")).toList();
        lines.add("| " + String.join(" | ", escaped) + " |");
        return this;
    }

    /** The table without a line break at its end. */
    String text() {
        return String.join("\n", lines);
    }
}
