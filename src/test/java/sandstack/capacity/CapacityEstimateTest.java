package sandstack.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Tests how an estimate follows the outcomes of connection attempts, with a simulated clock. */
class CapacityEstimateTest {
    private static final long SLOT_MICROS = 20_000;
    private static final long LONGEST_INTERVAL_MICROS = SLOT_MICROS << AdaptiveLimit.MAX_BACKOFF_EXPONENT;

    private final SplittableRandom random = new SplittableRandom(5);
    private final CapacityModel model = new CapacityModel(StatedCapacities.NONE, SLOT_MICROS, 1);
    private final CapacityEstimate server = model.newEstimate();
    private long nowMicros = 1_000_000_000;

    /**
     * Offers attempts, 10 ms apart, to a server that holds {@code capacity} connections, and sends those that the
     * estimate admits; returns how many the server rejected.
     */
    private int attemptConnections(int attempts, int capacity) {
        int rejected = 0;
        for (int i = 0; i < attempts; i++) {
            nowMicros += 10_000;
            if (!server.admits(nowMicros)) {
                continue;
            }
            server.onAttemptStarted();
            server.onAttemptEnded();
            if (server.establishedConnections() < capacity) {
                server.onEstablished(1, nowMicros, random.nextDouble());
            } else {
                server.onRejected(nowMicros, random.nextDouble());
                rejected++;
            }
        }
        return rejected;
    }

    @Test
    void withoutAFailureEveryConnectionIsAdmitted() {
        assertThat(attemptConnections(50_000, Integer.MAX_VALUE)).isZero();
        assertThat(server.establishedConnections()).isEqualTo(50_000);
        assertThat(server.occupancy()).isZero();
        assertThat(server.utilization(40, 1)).isZero();
    }

    @Test
    void aLimitIsLearnedAndThenExceededByTrialsOnly() {
        for (int capacity : new int[] {3, 50, 5_000}) {
            CapacityEstimate other = new CapacityModel(StatedCapacities.NONE, SLOT_MICROS, 1).newEstimate();
            int rejected = 0;
            for (int i = 0; i < 20_000; i++) {
                nowMicros += 10_000;
                if (other.admits(nowMicros)) {
                    other.onAttemptStarted();
                    other.onAttemptEnded();
                    if (other.establishedConnections() < capacity) {
                        other.onEstablished(1, nowMicros, random.nextDouble());
                    } else {
                        other.onRejected(nowMicros, random.nextDouble());
                        rejected++;
                    }
                }
            }
            assertThat(other.establishedConnections()).isEqualTo(capacity);
            // 200 s of attempts, 10 ms apart; the longest interval of 2^8 slots lasts 5 s, so roughly 40 trials fail
            assertThat(rejected)
                    .as("rejections by a server with capacity " + capacity)
                    .isBetween(20, 60);
        }
    }

    @Test
    void theLimitFollowsACapacityThatFallsAndReturns() {
        attemptConnections(500, 200);
        assertThat(server.establishedConnections()).isEqualTo(200);
        // the server drops 74% of its connections at once
        while (server.establishedConnections() > 52) {
            server.onClosed(1);
            server.onConnectionDropped(nowMicros, random.nextDouble());
        }
        assertThat(server.connectionLimit()).isEqualTo(52);
        assertThat(server.admits(nowMicros)).isFalse();
        int rejected = attemptConnections(300, 52);
        assertThat(rejected)
                .as("rejections while the server holds only 52 connections")
                .isLessThan(12);
        int connectionsBeforeReturn = server.establishedConnections();
        attemptConnections(2_000, 200);
        assertThat(connectionsBeforeReturn).isEqualTo(52);
        assertThat(server.establishedConnections())
                .as("connections 20 s after the capacity returned to 200")
                .isEqualTo(200);
    }

    @Test
    void aBurstOfDroppedConnectionsCountsAsOneFailure() {
        attemptConnections(200, 100);
        long delayMicros = 0;
        for (int i = 0; i < 60; i++) {
            server.onClosed(1);
            server.onConnectionDropped(nowMicros, 0.99);
        }
        while (!server.admits(nowMicros + delayMicros)) {
            delayMicros += 1_000;
        }
        assertThat(delayMicros).isLessThanOrEqualTo(2 * (SLOT_MICROS << AdaptiveLimit.MAX_BACKOFF_EXPONENT));
        assertThat(server.connectionLimit()).isEqualTo(server.establishedConnections());
    }

    @Test
    void aStatedCapacityIsOnlyTheInitialLimit() {
        CapacityModel statedModel = new CapacityModel(
                new StatedCapacities(new StatedCapacity(0, 40, false, 0, 0), List.of()), SLOT_MICROS, 2);
        CapacityEstimate stated = statedModel.newEstimate();
        stated.onEndpointListed(0, 2);
        for (int i = 0; i < 40; i++) {
            assertThat(stated.admits(nowMicros)).isTrue();
            stated.onAttemptStarted();
            stated.onAttemptEnded();
            stated.onEstablished(1, nowMicros, random.nextDouble());
        }
        assertThat(stated.connectionLimit())
                .as("limit of a server of rating 2: 40 connections per unit of rating, shared by two relays")
                .isEqualTo(40);
        for (int i = 0; i < 20_000 && stated.establishedConnections() < 400; i++) {
            nowMicros += 10_000;
            if (stated.admits(nowMicros)) {
                stated.onAttemptStarted();
                stated.onAttemptEnded();
                stated.onEstablished(1, nowMicros, random.nextDouble());
            }
        }
        assertThat(stated.establishedConnections())
                .as("connections of a server that is ten times as large as stated")
                .isEqualTo(400);
    }

    @Test
    void utilizationIsTheFractionOfAStatedUpperBound() {
        CapacityModel statedModel = new CapacityModel(
                new StatedCapacities(new StatedCapacity(1e6, 0, true, 1e5, 3), List.of()), SLOT_MICROS, 3);
        CapacityEstimate stated = statedModel.newEstimate();
        stated.onEndpointListed(0, 1);
        for (int i = 0; i < 4; i++) {
            statedModel.onEstablished(statedModel.meanLoad());
            stated.onEstablished(statedModel.meanLoad(), nowMicros, random.nextDouble());
        }
        assertThat(stated.utilization(0, 1)).isCloseTo(0.4, org.assertj.core.data.Offset.offset(1e-9));
        assertThat(stated.utilization(2, 1)).isCloseTo(1.0, org.assertj.core.data.Offset.offset(1e-9));
        assertThat(stated.utilization(0, 0.5)).isCloseTo(0.8, org.assertj.core.data.Offset.offset(1e-9));
    }

    @Test
    void serversOfOneMachineKindShareTheirUsualLimit() {
        CapacityEstimate[] sameKind = {model.newEstimate(), model.newEstimate(), model.newEstimate()};
        for (CapacityEstimate estimate : sameKind) {
            estimate.onEndpointListed(2, 1);
        }
        for (int i = 0; i < 30; i++) {
            sameKind[0].onEstablished(1, nowMicros, 0.5);
        }
        sameKind[0].onRejected(nowMicros, 0.5);
        for (int i = 0; i < 15; i++) {
            sameKind[1].onEstablished(1, nowMicros, 0.5);
        }
        assertThat(sameKind[1].occupancy())
                .as("15 connections, where another server of the kind has a limit of 30")
                .isCloseTo(0.5, org.assertj.core.data.Offset.offset(0.01));
        assertThat(sameKind[1].admits(nowMicros))
                .as("not closed by the limit of another server")
                .isTrue();
        CapacityEstimate otherKind = model.newEstimate();
        otherKind.onEndpointListed(1, 1);
        otherKind.onEstablished(1, nowMicros, 0.5);
        assertThat(otherKind.occupancy()).isZero();
    }

    /** For any sequence of reports, values stay in their ranges, and the server gets another trial. */
    @Property(tries = 300)
    void anySequenceOfReportsKeepsTheEstimateValid(
            @ForAll @Size(max = 400) List<@IntRange(max = 9) Integer> reportKinds,
            @ForAll @DoubleRange(min = -1e300, max = 1e300) double load,
            @ForAll long seed,
            @ForAll @LongRange(max = 10_000_000) long intervalMicros) {
        SplittableRandom draws = new SplittableRandom(seed);
        CapacityModel shared = new CapacityModel(
                seed % 2 == 0
                        ? StatedCapacities.NONE
                        : new StatedCapacities(new StatedCapacity(1e6, 3, seed % 3 == 0, 1e5, 3), List.of()),
                SLOT_MICROS,
                3);
        CapacityEstimate estimate = shared.newEstimate();
        // the drawn load also serves as a rating, which may be out of range
        estimate.onEndpointListed((int) seed, load);
        long timeMicros = 0;
        double sanitizedLoad = CapacityEstimate.sanitizeLoad(load);
        for (int reportKind : reportKinds) {
            timeMicros += intervalMicros;
            switch (reportKind) {
                case 0 -> estimate.onAttemptStarted();
                case 1 -> estimate.onAttemptEnded();
                case 2, 3 -> {
                    shared.onEstablished(sanitizedLoad);
                    estimate.onEstablished(sanitizedLoad, timeMicros, draws.nextDouble());
                }
                case 4 -> {
                    shared.onClosed();
                    estimate.onClosed(sanitizedLoad);
                }
                case 5 -> estimate.onRejected(timeMicros, draws.nextDouble());
                case 6, 7 -> estimate.onConnectionDropped(timeMicros, draws.nextDouble());
                case 8 -> {
                    double newLoad = CapacityEstimate.sanitizeLoad(draws.nextDouble() * load);
                    shared.onLoadReported(sanitizedLoad, newLoad);
                    estimate.onLoadChanged(sanitizedLoad, newLoad);
                }
                default -> estimate.onRestart();
            }
            assertThat(estimate.connectionLimit()).isGreaterThanOrEqualTo(0);
            assertThat(estimate.establishedLoad()).isBetween(0.0, 1e15);
            assertThat(estimate.occupancy()).isBetween(0.0, 1.0);
            assertThat(estimate.freeConnections()).isGreaterThanOrEqualTo(0);
            assertThat(estimate.utilization(3, 0.1)).isGreaterThanOrEqualTo(0).isNotNaN();
            assertThat(shared.meanLoad()).isPositive();
        }
        estimate.onInconclusiveAttempt();
        assertThat(estimate.admits(timeMicros + 2 * LONGEST_INTERVAL_MICROS))
                .as("a trial is due after twice the longest interval")
                .isTrue();
    }
}
