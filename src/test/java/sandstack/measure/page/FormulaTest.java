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
    private static final Map<String, Double> VARIABLES =
            Map.of("relays", 5_600.0, "zones", 8.0, "[relay.memory-per.x]", 5.0);

    private static double evaluate(String text) throws Formula.MalformedFormulaException {
        return Formula.evaluate(text, VARIABLES::get);
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
    void operatorsHaveTheUsualPrecedenceAndAssociativity(String text, double expected)
            throws Formula.MalformedFormulaException {
        assertThat(evaluate(text)).isCloseTo(expected, within(1e-12));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "'';unexpected end",
                "1 +;unexpected end",
                "(1 + 2;unexpected end",
                "1 2;unexpected 2 at position 3",
                "1 + $;unexpected $ at position 5",
                "1.2.3;malformed number 1.2.3",
                "relais;the variable relais is not defined",
                "[relay;unclosed bracket",
                "1 / 0;the result is not a finite number"
            })
    void malformedFormulaIsReported(String text, String expectedMessage) {
        assertThatThrownBy(() -> evaluate(text))
                .isInstanceOf(Formula.MalformedFormulaException.class)
                .hasMessage(expectedMessage);
    }

    @Test
    void parenthesesDepthIsBounded() {
        assertThatThrownBy(() -> evaluate("(".repeat(100_000))).isInstanceOf(Formula.MalformedFormulaException.class);
    }

    @Property
    void productsBindMoreTightlyThanSums(
            @ForAll @IntRange(min = 0, max = 1_000) int a,
            @ForAll @IntRange(min = 0, max = 1_000) int b,
            @ForAll @IntRange(min = 1, max = 1_000) int c,
            @ForAll @IntRange(min = 0, max = 1_000) int d)
            throws Formula.MalformedFormulaException {
        String text = a + " - " + b + "/" + c + "*" + d + " + " + a;

        assertThat(evaluate(text)).isCloseTo(a - (double) b / c * d + a, within(1e-6));
    }
}
