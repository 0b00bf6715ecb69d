package sandstack;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * The sources still contain each name that clients, operators, stored files or other processes depend on (wire,
 * settings, metrics, flags, log keys). Guards against renames in the code that change such a name.
 */
class OuterNamesTest {
    /** A line in brackets is a section heading; each other line that is not blank is a name. */
    private static final Path LIST = Path.of("src/test/resources/outer-names.txt");

    private static final String BALANCER_SECTION = "deploy/balancer.toml";
    private static final String CONFIGURATION_SECTION = "configuration file";
    /** Slightly less than the number of names in the list, so that a truncated list fails. */
    private static final int MIN_NAMES = 720;

    /** A comment, a string literal (its text is group 1 or 2) or a character literal. */
    private static final Pattern TOKEN = Pattern.compile(
            "//[^\n]*|(?s:/\\*.*?\\*/)|\"\"\"(?s:(.*?))\"\"\"|\"((?:\\\\.|[^\"\\\\])*+)\"|'(?:\\\\.|[^'])+'");

    private static final Pattern ENUM_CONSTANTS = Pattern.compile("\\benum \\w+[^{]*\\{([^;{}]*)");
    private static final Pattern RECORD_COMPONENTS =
            Pattern.compile("\\brecord \\w+(?:<[^(]*>)?\\(([^{]*)\\)[^{)]*\\{");
    /** Picocli names a command after its method. */
    private static final Pattern COMMAND_METHOD = Pattern.compile("@Command\\([^)]*\\)\\s+(int \\w+)\\(");

    /**
     * The texts and names in source files that can be visible outside the process.
     *
     * @param literals all string literals, one per line
     * @param words all string literals, without line break and tab escapes and without punctuation at both ends
     * @param declaredNames enum constants, record components and methods that are commands
     */
    private record SourceNames(String literals, Set<String> words, Set<String> declaredNames) {
        static SourceNames of(List<String> sources) {
            StringBuilder literals = new StringBuilder();
            Set<String> words = new HashSet<>();
            Set<String> declaredNames = new HashSet<>();
            for (String source : sources) {
                StringBuilder code = new StringBuilder();
                Matcher token = TOKEN.matcher(source);
                while (token.find()) {
                    String text = token.group(1) != null ? token.group(1) : token.group(2);
                    if (text != null) {
                        literals.append(text).append('\n');
                        words.add(text.replaceAll("\\\\[rnt]", "").replaceAll("^\\W+|\\W+$", ""));
                    }
                    token.appendReplacement(code, " ");
                }
                token.appendTail(code);
                addLastWords(ENUM_CONSTANTS.matcher(code), declaredNames);
                addLastWords(RECORD_COMPONENTS.matcher(code), declaredNames);
                addLastWords(COMMAND_METHOD.matcher(code), declaredNames);
            }
            return new SourceNames(literals.toString(), words, declaredNames);
        }

        /** Adds the last word of each item of the comma-separated lists in group 1. */
        private static void addLastWords(Matcher lists, Set<String> names) {
            while (lists.find()) {
                String list = lists.group(1);
                for (String previous = ""; !previous.equals(list); ) {
                    previous = list;
                    list = list.replaceAll("\\([^()]*\\)|<[^<>]*>", "");
                }
                for (String item : list.split(",", 0)) {
                    names.add(item.strip().replaceAll("(?s).*\\W", ""));
                }
            }
        }

        /**
         * Whether the sources contain a name. A single word must be a whole literal or a declared name, because a
         * message may contain the same word; any other name may be part of a literal, between word boundaries.
         */
        boolean contains(String name) {
            if (name.matches("\\w+")) {
                return words.contains(name) || declaredNames.contains(name);
            }
            return Pattern.compile("(?<!\\w(?=\\w))" + Pattern.quote(name) + "(?!(?<=\\w)\\w)")
                    .matcher(literals)
                    .find();
        }
    }

    private static SourceNames mainSources() throws IOException {
        List<String> sources = new ArrayList<>();
        try (Stream<Path> files = Files.walk(Path.of("src/main/java"))) {
            for (Path file :
                    files.filter(path -> path.toString().endsWith(".java")).toList()) {
                sources.add(Files.readString(file));
            }
        }
        return SourceNames.of(sources);
    }

    @Test
    void sourcesContainEachOuterName() throws IOException {
        SourceNames sourceNames = mainSources();
        JsonNode balancer = new TomlMapper().readTree(Files.readString(Path.of("deploy/balancer.toml")));
        JsonNode example = new ObjectMapper().readTree(Files.readString(Path.of("examples/config.json")));
        List<String> missing = new ArrayList<>();
        String section = "";
        int names = 0;
        for (String line : Files.readAllLines(LIST)) {
            if (line.startsWith("[") && line.endsWith("]")) {
                section = line.substring(1, line.length() - 1);
            } else if (!line.isBlank()) {
                names++;
                boolean found = section.equals(BALANCER_SECTION)
                        ? balancer.has(line)
                        : sourceNames.contains(line)
                                || (section.equals(CONFIGURATION_SECTION) && example.findValue(line) != null);
                if (!found) {
                    missing.add("[" + section + "] " + line);
                }
            }
        }
        assertThat(missing)
                .as("names of the list that the sources do not contain")
                .isEmpty();
        assertThat(names).as("names in " + LIST).isGreaterThanOrEqualTo(MIN_NAMES);
    }

    @Test
    void findsNamesInLiteralsAndDeclarationsOnly() {
        SourceNames sourceNames = SourceNames.of(
                List.of(
                        """
                // "commented"
                /** {@code "documented"} */
                enum State { READY, GONE("left") }
                record Report(int needOverHave, Map<String, Long> slopes) {}
                @Command(description = "Runs a relay.") int serve() {}
                String text = "max_attempts=" + '"' + "NAK\\r\\n" + \"""
                    text block\""" + identifier;
                """));
        assertThat(List.of(
                        "READY",
                        "GONE",
                        "left",
                        "needOverHave",
                        "slopes",
                        "serve",
                        "max_attempts",
                        "max_attempts=",
                        "NAK",
                        "text block",
                        "a relay."))
                .allMatch(sourceNames::contains);
        assertThat(List.of(
                        "commented",
                        "documented",
                        "State",
                        "String",
                        "identifier",
                        "relay",
                        "attempts",
                        "attempts=",
                        "max_attempts=1",
                        "text bloc",
                        "REA"))
                .noneMatch(sourceNames::contains);
    }
}
