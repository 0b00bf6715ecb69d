package sandstack.measure.configuration;

import java.util.SplittableRandom;
import java.util.function.Consumer;
import sandstack.measure.configuration.HollowConnection.Lane;

/** Carries frames between processes and counts them. One thread. */
final class CountedNetwork {
    private static final long REGION_LATENCY = 500;
    private static final long OTHER_REGION_LATENCY = 35_000;
    /** The latency is drawn up to this many times its least. */
    private static final int LATENCY_SPREAD = 2;

    private final SimulatedClock clock;
    private final SplittableRandom random;
    private NetworkFaults faults = NetworkFaults.NONE;

    CountedNetwork(SimulatedClock clock, SplittableRandom random) {
        this.clock = clock;
        this.random = random;
    }

    void faults(NetworkFaults now) {
        faults = now;
    }

    /** Whether frames get from one to the other now. */
    boolean passes(HollowProcess from, HollowProcess to) {
        return faults.passes(from, to);
    }

    /** Sends a frame; who receives it is asked whether it is there when it arrives. */
    void send(HollowProcess from, HollowProcess to, Lane lane, byte[] frame, Consumer<byte[]> receiver) {
        boolean otherRegion = !from.region().equals(to.region());
        from.traffic().count(frame.length, otherRegion);
        signal(from, to, lane, () -> {
            to.traffic().count(frame.length, otherRegion);
            receiver.accept(frame);
        });
    }

    /** The same for an event without a frame, such as the end of a connection. */
    void signal(HollowProcess from, HollowProcess to, Lane lane, Runnable arrival) {
        if (!faults.passes(from, to)) {
            return;
        }
        int copies = faults.copies(from, to);
        for (int i = 0; i < copies; i++) {
            clock.after(arrivalAt(from, to, lane) - clock.now(), () -> {
                if (faults.passes(from, to)) {
                    arrival.run();
                }
            });
        }
    }

    private long arrivalAt(HollowProcess from, HollowProcess to, Lane lane) {
        long arrival = clock.now() + latency(from, to);
        long extraDelay = faults.extraDelay(from, to);
        if (extraDelay > 0) {
            return arrival + extraDelay;
        }
        lane.lastArrival = Math.max(arrival, lane.lastArrival + 1);
        return lane.lastArrival;
    }

    private long latency(HollowProcess from, HollowProcess to) {
        long least = from.region().equals(to.region()) ? REGION_LATENCY : OTHER_REGION_LATENCY;
        return least + random.nextLong(least * (LATENCY_SPREAD - 1) + 1);
    }
}
