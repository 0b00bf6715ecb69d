package sandstack.measure.page;

import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import sandstack.config.InvalidConfigurationException;

/**
 * A Markdown page with generated tables between markers {@code <!-- table: NAME -->} and {@code <!-- end: NAME -->}.
 */
final class PageWithTables {
    private static final Pattern START_MARKER = Pattern.compile("^<!-- table: ([a-z-]+) -->$", Pattern.MULTILINE);

    private final String file;
    private final String text;

    PageWithTables(String file, String text) {
        this.file = file;
        this.text = text;
    }

    /**
     * Returns the page with its tables replaced.
     *
     * @param tables all tables by the names of their markers
     * @throws InvalidConfigurationException if markers and tables do not match one to one
     */
    String replaceTables(Map<String, String> tables) throws InvalidConfigurationException {
        StringBuilder page = new StringBuilder();
        Set<String> replaced = new LinkedHashSet<>();
        Matcher startMarker = START_MARKER.matcher(text);
        int copiedUntil = 0;
        while (startMarker.find(copiedUntil)) {
            String name = startMarker.group(1);
            String table = tables.get(name);
            if (table == null || !replaced.add(name)) {
                throw new InvalidConfigurationException(
                        file + ": table: " + name + ": " + (table == null ? "unknown" : "duplicate"));
            }
            String endMarker = "<!-- end: " + name + " -->";
            int endIndex = text.indexOf(endMarker, startMarker.end());
            if (endIndex < 0) {
                throw new InvalidConfigurationException(
                        file + ": table: " + name + ": end marker is missing: " + endMarker);
            }
            page.append(text, copiedUntil, startMarker.end())
                    .append("\n\n")
                    .append(table)
                    .append("\n\n")
                    .append(endMarker);
            copiedUntil = endIndex + endMarker.length();
        }
        for (String name : tables.keySet()) {
            if (!replaced.contains(name)) {
                throw new InvalidConfigurationException(file + ": table: " + name + ": missing");
            }
        }
        return page.append(text.substring(copiedUntil)).toString();
    }

    /** The number of the first line that differs, counted from one; 0 for equal texts. */
    static int firstDifference(String first, String second) {
        if (first.equals(second)) {
            return 0;
        }
        String[] firstLines = first.split("\n", -1);
        String[] secondLines = second.split("\n", -1);
        int line = 0;
        while (line < Math.min(firstLines.length, secondLines.length) && firstLines[line].equals(secondLines[line])) {
            line++;
        }
        return line + 1;
    }
}
