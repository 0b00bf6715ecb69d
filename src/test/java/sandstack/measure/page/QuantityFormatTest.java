package sandstack.measure.page;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Values are rounded to three significant digits, except whole numbers below a million; bytes and seconds get a prefix.
 */
class QuantityFormatTest {
    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "0;bytes;0 B",
                "470123456;bytes;470 MB",
                "4000;bytes a second;4 KB a second",
                "12500;bytes/s;12.5 KB/s",
                "21;ms a second;21 ms a second",
                "1500;us/s;1.5 ms/s",
                "0.5;s;500 ms",
                "3;messages/s;3 messages/s",
                "48;megabytes of heap;48 MB of heap",
                "0.5;bytes;0.5 B",
                "16;seconds;16 s",
                "0.22;seconds;220 ms",
                "35.5;microseconds a set-up;35.5 us a set-up",
                "1234567;microseconds;1.23 s",
                "0.021;cores;0.021 cores",
                "80400;connections;80,400 connections",
                "1900000;shards;1.9 million shards",
                "450000000;connections;450 million connections",
                "2500000000;entries;2.5 billion entries",
                "11485.71;clients;11,486 clients",
                "-3.25;cores;-3.25 cores",
                "0.0000123;cores;1.23e-05 cores"
            })
    void valuesAreRoundedAndScaledByTheirUnit(double value, String unit, String expected) {
        assertThat(QuantityFormat.format(value, unit)).isEqualTo(expected);
    }
}
