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

/** How an estimate follows evidence, on a simulated clock. */
class CapacityEstimateTest {
    private static final long SLOT_MICROS = 20_000;
    private static final long LONGEST_INTERVAL_MICROS = SLOT_MICROS << AdaptiveLimit.MAX_BACKOFF_EXPONENT;

    private final SplittableRandom random = new SplittableRandom(5);
    private final CapacityModel model = new CapacityModel(StatedCapacities.NONE, SLOT_MICROS, 1);
    private final CapacityEstimate server = model.newEstimate();
    private long nowMicros = 1_000_000_000;

    /** Offers attempts to a server of this capacity where the estimate admits them; returns how many were rejected. */
    private int offer(int attempts, int capacity) {
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
    void withoutEvidenceEveryConnectionIsAdmitted() {
        assertThat(offer(50_000, Integer.MAX_VALUE)).isZero();
        assertThat(server.establishedConnections()).isEqualTo(50_000);
        assertThat(server.occupancy()).isZero();
        assertThat(server.utilization(40, 1)).isZero();
    }

    @Test
    void aLimitIsFoundAndThenTriedAtIntervalsOnly() {
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
            // 200 s of offers 10 ms apart: an interval of 2^8 slots is 5 s long
            assertThat(rejected).as("rejected by a server of " + capacity).isBetween(20, 60);
        }
    }

    @Test
    void aCapacityThatFallsAndReturnsIsFollowed() {
        offer(500, 200);
        assertThat(server.establishedConnections()).isEqualTo(200);
        // 74% are lost at once, newest first
        while (server.establishedConnections() > 52) {
            server.onClosed(1);
            server.onConnectionDropped(nowMicros, random.nextDouble());
        }
        assertThat(server.connectionLimit()).isEqualTo(52);
        assertThat(server.admits(nowMicros)).isFalse();
        int rejected = offer(300, 52);
        assertThat(rejected).as("while it is small").isLessThan(12);
        int before = server.establishedConnections();
        offer(2_000, 200);
        assertThat(before).isEqualTo(52);
        assertThat(server.establishedConnections())
                .as("20 s after the capacity returned")
                .isEqualTo(200);
    }

    @Test
    void aBurstOfEvidenceIsOneFailure() {
        offer(200, 100);
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
    void aStatedCapacityIsOnlyTheStartOfTheLimit() {
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
                .as("40 for a unit of rating, shared by two relays")
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
                .as("a server ten times as large")
                .isEqualTo(400);
    }

    @Test
    void utilizationIsThatOfAStatedUpperBound() {
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
    void serversOfAKindShareTheirUsualLimit() {
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
                .as("half of what another of its kind held")
                .isCloseTo(0.5, org.assertj.core.data.Offset.offset(0.01));
        assertThat(sameKind[1].admits(nowMicros))
                .as("closed by its own evidence only")
                .isTrue();
        CapacityEstimate otherKind = model.newEstimate();
        otherKind.onEndpointListed(1, 1);
        otherKind.onEstablished(1, nowMicros, 0.5);
        assertThat(otherKind.occupancy()).isZero();
    }

    /** Whatever is reported in whatever order: figures stay in their range, and the server is tried again. */
    @Property(tries = 300)
    void noStreamOfEvidenceBreaksAnEstimate(
            @ForAll @Size(max = 400) List<@IntRange(max = 9) Integer> kinds,
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
        estimate.onEndpointListed((int) seed, load);
        long timeMicros = 0;
        double knownLoad = CapacityEstimate.sanitizeLoad(load);
        for (int kind : kinds) {
            timeMicros += intervalMicros;
            switch (kind) {
                case 0 -> estimate.onAttemptStarted();
                case 1 -> estimate.onAttemptEnded();
                case 2, 3 -> {
                    shared.onEstablished(knownLoad);
                    estimate.onEstablished(knownLoad, timeMicros, draws.nextDouble());
                }
                case 4 -> {
                    shared.onClosed();
                    estimate.onClosed(knownLoad);
                }
                case 5 -> estimate.onRejected(timeMicros, draws.nextDouble());
                case 6, 7 -> estimate.onConnectionDropped(timeMicros, draws.nextDouble());
                case 8 -> {
                    double changedLoad = CapacityEstimate.sanitizeLoad(draws.nextDouble() * load);
                    shared.onLoadReported(knownLoad, changedLoad);
                    estimate.onLoadChanged(knownLoad, changedLoad);
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
                .as("tried again")
                .isTrue();
    }
}
