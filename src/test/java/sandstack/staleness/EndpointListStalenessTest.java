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

/** The cases of the platform's pages, a row each, in milliseconds. */
class EndpointListStalenessTest {
    @ParameterizedTest(name = "{0}: made {1}, since {2}, waits {3}: told {4}")
    @CsvSource({
        "DELIVERED,              9000, 0,    0,    9000",
        "CACHED_BY_AGENT,         9000, 0,    0,    9000",
        "SILENT_WATCH,         1500, 1000, 0,    7000",
        "SILENT_WATCH,         7500, 1000, 0,    7500",
        "SILENT_CALL,          1500, 1000, 2000, 7000",
        "SILENT_CALL,          1500, 1000, 6000, 7500",
        "SILENT_CALL,          3500, 1000, 6000, 9000",
        "NO_WATCH,             500,  1000, 0,    11000",
        "NO_WATCH,             3000, 1000, 0,    13000",
        "NO_WATCH_CALL_FAILED, 500,  1000, 0,    6500",
        "NO_WATCH_CALL_FAILED, 4000, 1000, 0,    10000",
        "NEW_CONFIGURATION,    500,  1000, 0,    5000",
        "NEW_CONFIGURATION,    6000, 1000, 0,    6000",
    })
    void aChangeCountsFromThatMomentOn(NotificationPath way, long made, long since, long wait, long told) {
        EndpointListStaleness clock = new EndpointListStaleness(way == NotificationPath.CACHED_BY_AGENT, 10_000_000);
        assertThat(clock.notifiedAtMicros(way, made * 1000, since * 1000, wait * 1000))
                .isEqualTo(told * 1000);
    }

    /** Two more calls, the first of them as long as discovery lets one wait, before what was missed counts. */
    @Property
    void aSilentWatchLeavesTimeForTwoCalls(@ForAll boolean pushed, @ForAll @DoubleRange(max = 0.99) double draw) {
        EndpointListStaleness clock = new EndpointListStaleness(pushed, 10_000_000);
        long second = EndpointListStaleness.WATCH_SILENCE_TIMEOUT_MICROS
                + clock.backoffMicros(1, draw)
                + 2_000_000
                + clock.backoffMicros(2, draw);
        assertThat(second).isLessThan(EndpointListStaleness.MISSED_CHANGE_GRACE_MICROS - 500_000);
    }

    /**
     * However many calls have failed: the one that was out when discovery came back falls silent, the pause is drawn, the
     * next call waits as long as discovery lets it, and the list is there before a change made at the return counts.
     */
    @Property
    void afterAnyFailureTheNextListIsThereBeforeAChangeCounts(
            @ForAll @LongRange(max = 100_000_000) long within,
            @ForAll @IntRange(min = 1) int failures,
            @ForAll @DoubleRange(max = 0.99) double draw) {
        long there = EndpointListStaleness.WATCH_SILENCE_TIMEOUT_MICROS
                + new EndpointListStaleness(false, within).backoffMicros(failures, draw)
                + 2_000_000;
        assertThat(there).isLessThanOrEqualTo(EndpointListStaleness.MISSED_CHANGE_GRACE_MICROS);
    }

    @Property
    void pausesAreBoundedAndNeverNone(
            @ForAll boolean pushed,
            @ForAll @LongRange(max = 100_000_000) long within,
            @ForAll @IntRange(min = 1) int failures,
            @ForAll @DoubleRange(max = 0.99) double draw) {
        long pause = new EndpointListStaleness(pushed, within).backoffMicros(failures, draw);
        assertThat(pause).isBetween(1L, pushed ? 80_000 : Math.max(160_000, within / 2 + 1));
    }

    /** A relay may not go without a call for longer than the settings say, whatever has failed before. */
    @Property
    void whereListsAreAskedForNoPauseIsLongerThanAllowed(
            @ForAll @LongRange(min = 1_000_000, max = 60_000_000) long within,
            @ForAll @IntRange(min = 1) int failures,
            @ForAll @DoubleRange(max = 0.99) double draw) {
        assertThat(new EndpointListStaleness(false, within).backoffMicros(failures, draw))
                .isLessThan(within);
    }

    @ParameterizedTest
    @CsvSource({"true, 1000000", "false, 0"})
    void onlyWhatAnAgentHasKeepsANewProcessWaiting(boolean pushed, long waits) {
        assertThat(new EndpointListStaleness(pushed, 10_000_000).firstListTimeoutMicros())
                .isEqualTo(waits);
    }
}
