package sandstack.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** A hundred modules while all relays restart and half of the servers are replaced, on twelve days. */
class RollTest {
    private static final int DAYS = 12;

    private static World.Outcome[] days(int relays) {
        return LongStream.rangeClosed(1, DAYS).parallel().mapToObj(seed -> World.roll(seed, relays,
                18 + (int) (seed % 4) * 3, 230 + (int) (seed % 3) * 30, 10 + (int) (seed % 5)))
                .toArray(World.Outcome[]::new);
    }

    @Test
    void whatComesBackTogetherIsNotDroppedOverAndOver() {
        double served = 0;
        double dropped = 0;
        for (World.Outcome day : days(100)) {
            served += day.served() / DAYS;
            dropped += day.dropped() / (double) DAYS;
        }
        assertThat(dropped).as("connections that servers dropped, a day").isLessThan(1_000);
        assertThat(served).as("part of the worth that was wanted").isGreaterThan(0.5);
    }
}
