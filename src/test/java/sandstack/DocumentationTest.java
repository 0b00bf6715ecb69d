package sandstack;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Classes, members, packages and files that the documentation names exist. */
class DocumentationTest {
    private static final Path SOURCES = Path.of("src/main/java");
    private static final List<Path> ALL_SOURCES = List.of(SOURCES, Path.of("src/test/java"));
    private static final Pattern CODE_SPAN = Pattern.compile("`([^`\n]+)`");
    /** A class name needs a lower-case letter, which excludes the capitalized words of protocols. */
    private static final Pattern CLASS_OR_MEMBER =
            Pattern.compile("([A-Z]\\w*[a-z]\\w*)((?:\\.[A-Z]\\w*[a-z]\\w*)*)(?:[.#](\\w+)(?:\\(\\))?)?");

    private static final Pattern PACKAGE = Pattern.compile("sandstack(?:\\.[a-z]+)*");
    private static final Pattern FILE = Pattern.compile("(?:src|docs|deploy|config|examples|\\.ci)/[\\w./-]+");

    @ParameterizedTest
    @ValueSource(strings = {"docs/architecture.md", "docs/glossary.md", "docs/design.md", "README.md"})
    void namesInPageExist(String page) throws IOException {
        Map<String, Path> classes = classes();
        List<String> missing = new ArrayList<>();
        int checked = 0;
        Matcher span = CODE_SPAN.matcher(Files.readString(Path.of(page)));
        while (span.find()) {
            String name = span.group(1);
            Matcher code = CLASS_OR_MEMBER.matcher(name);
            if (code.matches()) {
                checked++;
                if (!existsInSources(code, classes)) {
                    missing.add(name);
                }
            } else if (PACKAGE.matcher(name).matches()) {
                checked++;
                if (!Files.isDirectory(SOURCES.resolve(name.replace('.', '/')))) {
                    missing.add(name);
                }
            } else if (FILE.matcher(name).matches()) {
                checked++;
                if (!Files.exists(Path.of(name))) {
                    missing.add(name);
                }
            }
        }
        assertThat(missing).as("names in %s that do not exist", page).isEmpty();
        assertThat(checked).as("number of names checked in %s", page).isGreaterThan(10);
    }

    private static boolean existsInSources(Matcher code, Map<String, Path> classes) throws IOException {
        Path file = classes.get(code.group(1));
        if (file == null) {
            return false;
        }
        String text = Files.readString(file);
        for (String nested : code.group(2).split("\\.", 0)) {
            if (!declares(text, nested)) {
                return false;
            }
        }
        return code.group(3) == null || declares(text, code.group(3));
    }

    private static boolean declares(String text, String name) {
        return name.isEmpty()
                || Pattern.compile("\\b" + name + "\\b").matcher(text).find();
    }

    private static Map<String, Path> classes() throws IOException {
        Map<String, Path> classes = new HashMap<>();
        for (Path sources : ALL_SOURCES) {
            try (Stream<Path> files = Files.walk(sources)) {
                files.filter(file -> file.toString().endsWith(".java")).forEach(file -> {
                    String name = file.getFileName().toString();
                    classes.put(name.substring(0, name.length() - ".java".length()), file);
                });
            }
        }
        return classes;
    }
}
