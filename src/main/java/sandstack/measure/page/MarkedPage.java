package sandstack.measure.page;

import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import sandstack.config.InvalidConfigurationException;

/** A page whose tables stand between {@code <!-- table: NAME -->} and {@code <!-- end: NAME -->}. */
final class MarkedPage {
    private static final Pattern BEGIN = Pattern.compile("^<!-- table: ([a-z-]+) -->$", Pattern.MULTILINE);

    private final String file;
    private final String text;

    MarkedPage(String file, String text) {
        this.file = file;
        this.text = text;
    }

    /** The page with these tables; each has to have its place, once, and each place its table. */
    String with(Map<String, String> tables) throws InvalidConfigurationException {
        StringBuilder page = new StringBuilder();
        Set<String> placed = new LinkedHashSet<>();
        Matcher begin = BEGIN.matcher(text);
        int copied = 0;
        while (begin.find(copied)) {
            String name = begin.group(1);
            String table = tables.get(name);
            if (table == null || !placed.add(name)) {
                throw new InvalidConfigurationException(
                        file + ": table: " + name + ": " + (table == null ? "not known" : "stands twice"));
            }
            String end = "<!-- end: " + name + " -->";
            int ends = text.indexOf(end, begin.end());
            if (ends < 0) {
                throw new InvalidConfigurationException(file + ": table: " + name + ": its end is missing: " + end);
            }
            page.append(text, copied, begin.end())
                    .append("\n\n")
                    .append(table)
                    .append("\n\n")
                    .append(end);
            copied = ends + end.length();
        }
        for (String name : tables.keySet()) {
            if (!placed.contains(name)) {
                throw new InvalidConfigurationException(file + ": table: " + name + ": missing");
            }
        }
        return page.append(text.substring(copied)).toString();
    }

    /** The first line in which two pages differ, counted from one; 0 where they are the same. */
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
