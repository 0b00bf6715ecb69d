package sandstack.measure.page;

import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import sandstack.config.InvalidConfigurationException;

/** A page with generated tables between {@code <!-- table: NAME -->} and {@code <!-- end: NAME -->}. */
final class PageWithTables {
    private static final Pattern START_MARKER = Pattern.compile("^<!-- table: ([a-z-]+) -->$", Pattern.MULTILINE);

    private final String file;
    private final String text;

    PageWithTables(String file, String text) {
        this.file = file;
        this.text = text;
    }

    /** Returns the page with these tables; markers and tables have to match one to one. */
    String replaceTables(Map<String, String> tables) throws InvalidConfigurationException {
        StringBuilder page = new StringBuilder();
        Set<String> placed = new LinkedHashSet<>();
        Matcher startMarker = START_MARKER.matcher(text);
        int copiedUntil = 0;
        while (startMarker.find(copiedUntil)) {
            String name = startMarker.group(1);
            String table = tables.get(name);
            if (table == null || !placed.add(name)) {
                throw new InvalidConfigurationException(
                        file + ": table: " + name + ": " + (table == null ? "not known" : "duplicate"));
            }
            String endMarker = "<!-- end: " + name + " -->";
            int endIndex = text.indexOf(endMarker, startMarker.end());
            if (endIndex < 0) {
                throw new InvalidConfigurationException(
                        file + ": table: " + name + ": its end is missing: " + endMarker);
            }
            page.append(text, copiedUntil, startMarker.end())
                    .append("\n\n")
                    .append(table)
                    .append("\n\n")
                    .append(endMarker);
            copiedUntil = endIndex + endMarker.length();
        }
        for (String name : tables.keySet()) {
            if (!placed.contains(name)) {
                throw new InvalidConfigurationException(file + ": table: " + name + ": missing");
            }
        }
        return page.append(text.substring(copiedUntil)).toString();
    }

    /** The first line that differs, counted from one; 0 for equal texts. */
    static int firstDifference(String one, String other) {
        if (one.equals(other)) {
            return 0;
        }
        String[] lines = one.split("\n", -1);
        String[] others = other.split("\n", -1);
        int line = 0;
        while (line < Math.min(lines.length, others.length) && lines[line].equals(others[line])) {
            line++;
        }
        return line + 1;
    }
}
