package sandstack.staleness;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sandstack.staleness.EndpointListStaleness.NotificationPath;

/**
 * Tests the time from which a relay counts as notified, one row per case in milliseconds, and the backoff that makes
 * the list arrive before it.
 */
class EndpointListStalenessTest {
    @ParameterizedTest(name = "{0}: changed at {1}, since {2}, long poll {3}: notified at {4}")
    @CsvSource({
        "DELIVERED,            9000, 0,    0,    9000",
        "CACHED_BY_AGENT,      9000, 0,    0,    9000",
        "SILENT_WATCH,         1500, 1000, 0,    7000",
        "SILENT_WATCH,         7500, 1000, 0,    7500",
        "SILENT_POLL,          1500, 1000, 2000, 7000",
        "SILENT_POLL,          1500, 1000, 6000, 7500",
        "SILENT_POLL,          3500, 1000, 6000, 9000",
        "NO_WATCH,             500,  1000, 0,    11000",
        "NO_WATCH,             3000, 1000, 0,    13000",
        "NO_WATCH_POLL_FAILED, 500,  1000, 0,    6500",
        "NO_WATCH_POLL_FAILED, 4000, 1000, 0,    10000",
        "NEW_CONFIGURATION,    500,  1000, 0,    5000",
        "NEW_CONFIGURATION,    6000, 1000, 0,    6000",
    })
    void aChangeCountsAsNotifiedFromTheTimeOfItsPath(
            NotificationPath path, long changedMillis, long sinceMillis, long longPollMillis, long notifiedMillis) {
        EndpointListStaleness staleness =
                new EndpointListStaleness(path == NotificationPath.CACHED_BY_AGENT, 10_000_000);
        assertThat(staleness.notifiedAtMicros(path, changedMillis * 1000, sinceMillis * 1000, longPollMillis * 1000))
                .isEqualTo(notifiedMillis * 1000);
    }

    /** Two more polls end before a missed change counts as notified; the first takes as long as a long poll may. */
    @Property
    void aSilentWatchLeavesTimeForTwoPolls(
            @ForAll boolean pushed, @ForAll @DoubleRange(max = 0.99) double uniformDraw) {
        EndpointListStaleness staleness = new EndpointListStaleness(pushed, 10_000_000);
        long secondPollEndMicros = EndpointListStaleness.WATCH_SILENCE_TIMEOUT_MICROS
                + staleness.backoffMicros(1, uniformDraw)
                + 2_000_000
                + staleness.backoffMicros(2, uniformDraw);
        assertThat(secondPollEndMicros).isLessThan(EndpointListStaleness.MISSED_CHANGE_GRACE_MICROS - 500_000);
    }

    /**
     * After any number of failed polls: the poll that was open when discovery became available again is silent until
     * its timeout, the backoff passes, the next poll takes as long as a long poll may, and its list arrives before a
     * change made when discovery became available counts as notified.
     */
    @Property
    void afterAnyNumberOfFailuresTheNextListArrivesBeforeAChangeCountsAsNotified(
            @ForAll @LongRange(max = 100_000_000) long pollIntervalMicros,
            @ForAll @IntRange(min = 1) int failures,
            @ForAll @DoubleRange(max = 0.99) double uniformDraw) {
        long listArrivedMicros = EndpointListStaleness.WATCH_SILENCE_TIMEOUT_MICROS
                + new EndpointListStaleness(false, pollIntervalMicros).backoffMicros(failures, uniformDraw)
                + 2_000_000;
        assertThat(listArrivedMicros).isLessThanOrEqualTo(EndpointListStaleness.MISSED_CHANGE_GRACE_MICROS);
    }

    @Property
    void backoffIsBoundedAndNeverZero(
            @ForAll boolean pushed,
            @ForAll @LongRange(max = 100_000_000) long pollIntervalMicros,
            @ForAll @IntRange(min = 1) int failures,
            @ForAll @DoubleRange(max = 0.99) double uniformDraw) {
        long backoffMicros = new EndpointListStaleness(pushed, pollIntervalMicros).backoffMicros(failures, uniformDraw);
        assertThat(backoffMicros).isBetween(1L, pushed ? 80_000 : Math.max(160_000, pollIntervalMicros / 2 + 1));
    }

    /** A relay may not go without a poll for longer than the settings allow, after any number of failures. */
    @Property
    void theBackoffBetweenPollsIsShorterThanThePollInterval(
            @ForAll @LongRange(min = 1_000_000, max = 60_000_000) long pollIntervalMicros,
            @ForAll @IntRange(min = 1) int failures,
            @ForAll @DoubleRange(max = 0.99) double uniformDraw) {
        assertThat(new EndpointListStaleness(false, pollIntervalMicros).backoffMicros(failures, uniformDraw))
                .isLessThan(pollIntervalMicros);
    }

    @ParameterizedTest
    @CsvSource({"true, 1000000", "false, 0"})
    void aNewProcessWaitsForItsFirstListOnlyIfAnAgentPushesLists(boolean pushed, long timeoutMicros) {
        assertThat(new EndpointListStaleness(pushed, 10_000_000).firstListTimeoutMicros())
                .isEqualTo(timeoutMicros);
    }
}
