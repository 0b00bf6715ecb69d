package sandstack.measure.page;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** A table of a Markdown page. */
final class MarkdownTable {
    private final List<String> lines = new ArrayList<>();
    private final int columns;

    MarkdownTable(String... heads) {
        columns = heads.length;
        row(heads);
        lines.add("|" + " --- |".repeat(columns));
    }

    MarkdownTable row(String... cells) {
        if (cells.length != columns) {
            throw new IllegalArgumentException(cells.length + " cells in a table of " + columns);
        }
        List<String> escaped =
                Arrays.stream(cells).map(c -> c.replace("|", "\\|")).toList();
        lines.add("| " + String.join(" | ", escaped) + " |");
        return this;
    }

    String text() {
        return String.join("\n", lines);
    }
}
