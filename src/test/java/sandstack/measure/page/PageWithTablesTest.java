package sandstack.measure.page;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Map;
import org.junit.jupiter.api.Test;
import sandstack.config.InvalidConfigurationException;

/** Tables between markers are replaced, and the rest of the page is unchanged. */
class PageWithTablesTest {
    private static final String PAGE = "# Page\n\n<!-- table: one -->\nold\n<!-- end: one -->\n\ntext\n";

    @Test
    void onlyTextBetweenMarkersIsReplaced() throws InvalidConfigurationException {
        String replaced = new PageWithTables("p.md", PAGE).replaceTables(Map.of("one", "| new |"));

        assertThat(replaced).isEqualTo("# Page\n\n<!-- table: one -->\n\n| new |\n\n<!-- end: one -->\n\ntext\n");
        assertThat(new PageWithTables("p.md", replaced).replaceTables(Map.of("one", "| new |")))
                .isEqualTo(replaced);
    }

    @Test
    void eachTableMustBeMarkedExactlyOnce() {
        assertInvalid(PAGE, Map.of("one", "", "two", ""), "p.md: table: two: missing");
        assertInvalid(PAGE, Map.of("two", ""), "p.md: table: one: unknown");
        assertInvalid(PAGE + PAGE, Map.of("one", ""), "p.md: table: one: duplicate");
        assertInvalid(
                "<!-- table: one -->\n",
                Map.of("one", ""),
                "p.md: table: one: end marker is missing: <!-- end: one -->");
    }

    private static void assertInvalid(String page, Map<String, String> tables, String expectedMessage) {
        assertThatThrownBy(() -> new PageWithTables("p.md", page).replaceTables(tables))
                .isInstanceOf(InvalidConfigurationException.class)
                .hasMessage(expectedMessage);
    }

    @Test
    void firstDifferenceIsALineNumber() {
        assertThat(PageWithTables.firstDifference("a\nb\n", "a\nb\n")).isZero();
        assertThat(PageWithTables.firstDifference("a\nb\n", "a\nc\n")).isEqualTo(2);
        assertThat(PageWithTables.firstDifference("a\n", "a\nb\n")).isEqualTo(2);
    }
}
