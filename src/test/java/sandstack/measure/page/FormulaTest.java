package sandstack.measure.page;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Evaluation of formulas, and errors in malformed ones. */
class FormulaTest {
    private static final Map<String, Double> NAMES =
            Map.of("relays", 5_600.0, "zones", 8.0, "[relay.memory-per.x]", 5.0);

    private static double value(String text) throws Formula.MalformedFormulaException {
        return Formula.evaluate(text, NAMES::get);
    }

    @ParameterizedTest
    @CsvSource({
        "1 + 2 * 3, 7",
        "(1 + 2) * 3, 9",
        "8 - 4 - 2, 2",
        "8 / 4 / 2, 1",
        "0.021, 0.021",
        "relays / zones, 700",
        "relays * (zones - 1) / zones, 4900",
        "[relay.memory-per.x] * 2 - 1, 9"
    })
    void expressionsAreReadAsOnPaper(String text, double expected) throws Formula.MalformedFormulaException {
        assertThat(value(text)).isCloseTo(expected, within(1e-12));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "'';ends too early",
                "1 +;ends too early",
                "(1 + 2;ends too early",
                "1 2;has 2 at position 3",
                "1 + $;has $ at position 5",
                "1.2.3;has no number at 1.2.3",
                "relais;names relais, which there is not",
                "[relay;has a bracket that does not end",
                "1 / 0;comes to no finite number"
            })
    void whatIsWrongIsTold(String text, String why) {
        assertThatThrownBy(() -> value(text))
                .isInstanceOf(Formula.MalformedFormulaException.class)
                .hasMessage(why);
    }

    @Test
    void depthIsBounded() {
        assertThatThrownBy(() -> value("(".repeat(100_000))).isInstanceOf(Formula.MalformedFormulaException.class);
    }

    @Property
    void productsComeBeforeSums(
            @ForAll @IntRange(min = 0, max = 1_000) int a,
            @ForAll @IntRange(min = 0, max = 1_000) int b,
            @ForAll @IntRange(min = 1, max = 1_000) int c,
            @ForAll @IntRange(min = 0, max = 1_000) int d)
            throws Formula.MalformedFormulaException {
        String text = a + " - " + b + "/" + c + "*" + d + " + " + a;

        assertThat(value(text)).isCloseTo(a - (double) b / c * d + a, within(1e-6));
    }
}
