package sandstack.measure.configuration;

import java.util.SplittableRandom;
import java.util.function.Consumer;
import sandstack.measure.configuration.HollowConnection.Direction;
import sandstack.measure.scale.SimulatedClock;

/** Carries frames between processes and counts them. One thread. */
final class SimulatedNetwork {
    private static final long SAME_REGION_MICROS = 500;
    private static final long OTHER_REGION_MICROS = 35_000;
    /** The latency is drawn up to this many times its least. */
    private static final int MAX_LATENCY_FACTOR = 2;

    private final SimulatedClock clock;
    private final SplittableRandom random;
    private NetworkFaults faults = NetworkFaults.NONE;

    SimulatedNetwork(SimulatedClock clock, SplittableRandom random) {
        this.clock = clock;
        this.random = random;
    }

    void setFaults(NetworkFaults newFaults) {
        faults = newFaults;
    }

    /** Whether frames get from one to the other now. */
    boolean canReach(HollowProcess from, HollowProcess to) {
        return faults.canReach(from, to);
    }

    /** Sends a frame; who receives it is asked whether it is there when it arrives. */
    void send(HollowProcess from, HollowProcess to, Direction direction, byte[] frame, Consumer<byte[]> receiver) {
        boolean otherRegion = !from.region().equals(to.region());
        from.traffic().count(frame.length, otherRegion);
        signal(from, to, direction, () -> {
            to.traffic().count(frame.length, otherRegion);
            receiver.accept(frame);
        });
    }

    /** The same for an event without a frame, such as the end of a connection. */
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
        long minMicros = from.region().equals(to.region()) ? SAME_REGION_MICROS : OTHER_REGION_MICROS;
        return minMicros + random.nextLong(minMicros * (MAX_LATENCY_FACTOR - 1) + 1);
    }
}
