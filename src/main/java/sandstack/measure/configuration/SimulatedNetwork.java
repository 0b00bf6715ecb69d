package sandstack.measure.configuration;

import java.util.SplittableRandom;
import java.util.function.Consumer;
import sandstack.measure.configuration.HollowConnection.Direction;
import sandstack.measure.scale.SimulatedClock;

/** Delivers frames between simulated processes with random latencies and faults, and counts them. Not thread-safe. */
final class SimulatedNetwork {
    /** Minimum one-way latency within a region. */
    private static final long MIN_SAME_REGION_MICROS = 500;
    /** Minimum one-way latency between regions. */
    private static final long MIN_OTHER_REGION_MICROS = 35_000;
    /** Latencies are uniformly distributed from the minimum to this multiple of it. */
    private static final int MAX_LATENCY_FACTOR = 2;

    private final SimulatedClock clock;
    private final SplittableRandom random;
    private NetworkFaults faults = NetworkFaults.NONE;

    SimulatedNetwork(SimulatedClock clock, SplittableRandom random) {
        this.clock = clock;
        this.random = random;
    }

    /** Sets the faults. A frame in flight is lost if its destination cannot be reached when it arrives. */
    void setFaults(NetworkFaults newFaults) {
        faults = newFaults;
    }

    /** Whether frames from one process reach the other now. */
    boolean canReach(HollowProcess from, HollowProcess to) {
        return faults.canReach(from, to);
    }

    /** Sends a frame; the receiver is called for each copy that arrives. */
    void send(HollowProcess from, HollowProcess to, Direction direction, byte[] frame, Consumer<byte[]> receiver) {
        boolean otherRegion = !from.region().equals(to.region());
        from.traffic().count(frame.length, otherRegion);
        signal(from, to, direction, () -> {
            to.traffic().count(frame.length, otherRegion);
            receiver.accept(frame);
        });
    }

    /** Sends an event without a frame, such as the close of a connection. */
    void signal(HollowProcess from, HollowProcess to, Direction direction, Runnable arrival) {
        if (!faults.canReach(from, to)) {
            return;
        }
        int copies = faults.copies(from, to);
        for (int i = 0; i < copies; i++) {
            clock.schedule(arrivalMicros(from, to, direction) - clock.nowMicros(), () -> {
                if (faults.canReach(from, to)) {
                    arrival.run();
                }
            });
        }
    }

    private long arrivalMicros(HollowProcess from, HollowProcess to, Direction direction) {
        long arrival = clock.nowMicros() + latencyMicros(from, to);
        long extraDelay = faults.extraDelayMicros(from, to);
        if (extraDelay > 0) {
            return arrival + extraDelay;
        }
        direction.lastArrivalMicros = Math.max(arrival, direction.lastArrivalMicros + 1);
        return direction.lastArrivalMicros;
    }

    private long latencyMicros(HollowProcess from, HollowProcess to) {
        long minMicros = from.region().equals(to.region()) ? MIN_SAME_REGION_MICROS : MIN_OTHER_REGION_MICROS;
        return minMicros + random.nextLong(minMicros * (MAX_LATENCY_FACTOR - 1) + 1);
    }
}
