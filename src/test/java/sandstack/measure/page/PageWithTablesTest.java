package sandstack.measure.page;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Map;
import org.junit.jupiter.api.Test;
import sandstack.config.InvalidConfigurationException;

/** Tables are replaced between markers, and the rest of the page is unchanged. */
class PageWithTablesTest {
    private static final String PAGE = "# Page\n\n<!-- table: one -->\nold\n<!-- end: one -->\n\ntext\n";

    @Test
    void whatStandsBetweenMarkersIsReplacedAndTheRestStays() throws InvalidConfigurationException {
        String once = new PageWithTables("p.md", PAGE).replaceTables(Map.of("one", "| new |"));

        assertThat(once).isEqualTo("# Page\n\n<!-- table: one -->\n\n| new |\n\n<!-- end: one -->\n\ntext\n");
        assertThat(new PageWithTables("p.md", once).replaceTables(Map.of("one", "| new |")))
                .isEqualTo(once);
    }

    @Test
    void everyTableHasItsPlaceOnce() {
        wrong(PAGE, Map.of("one", "", "two", ""), "p.md: table: two: missing");
        wrong(PAGE, Map.of("two", ""), "p.md: table: one: not known");
        wrong(PAGE + PAGE, Map.of("one", ""), "p.md: table: one: duplicate");
        wrong("<!-- table: one -->\n", Map.of("one", ""), "p.md: table: one: its end is missing: <!-- end: one -->");
    }

    private static void wrong(String page, Map<String, String> tables, String message) {
        assertThatThrownBy(() -> new PageWithTables("p.md", page).replaceTables(tables))
                .isInstanceOf(InvalidConfigurationException.class)
                .hasMessage(message);
    }

    @Test
    void theFirstDifferenceIsCountedInLines() {
        assertThat(PageWithTables.firstDifference("a\nb\n", "a\nb\n")).isZero();
        assertThat(PageWithTables.firstDifference("a\nb\n", "a\nc\n")).isEqualTo(2);
        assertThat(PageWithTables.firstDifference("a\n", "a\nb\n")).isEqualTo(2);
    }
}
