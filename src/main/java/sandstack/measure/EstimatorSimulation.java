package sandstack.measure;

import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Simulates one server with a varying capacity under an open-loop load of 1.5 times its maximum capacity. A limiter
 * decides which arrivals attempt a connection to this server; the others are not simulated further, as they would be
 * placed on another server. Deterministic for a seed. Not thread-safe.
 */
final class EstimatorSimulation {
    private static final long STEP_MICROS = 1_000;
    private static final double MEAN_LIFETIME_MICROS = 5e6;
    /** Offered load as a multiple of the maximum capacity. */
    private static final double OFFERED_LOAD = 1.5;

    private static final double MICROS_PER_SECOND = 1e6;
    /** The first tenth of a run is warm-up and excluded from the utilization. */
    private static final int WARM_UP_DIVISOR = 10;

    /** Setup time at an idle server. */
    private static final double IDLE_SETUP_MICROS = 1_000;

    /** The capacity of the simulated server over time. Reports print the names of the constants. */
    enum CapacityProfile {
        /** A small constant capacity. */
        FEW(3) {
            @Override
            int capacity(long nowMicros) {
                return 3;
            }
        },
        /** A constant capacity. */
        STEADY(50) {
            @Override
            int capacity(long nowMicros) {
                return 50;
            }
        },
        /** A large constant capacity. */
        LARGE(5_000) {
            @Override
            int capacity(long nowMicros) {
                return 5_000;
            }
        },
        /** Loses 74% of its capacity for 20 s. */
        FALLS_74(200) {
            @Override
            int capacity(long nowMicros) {
                return nowMicros > 40_000_000 && nowMicros < 60_000_000 ? 52 : 200;
            }
        },
        /** Loses 74% of its capacity in every other interval of 2.5 s. */
        ON_AND_OFF(200) {
            @Override
            int capacity(long nowMicros) {
                return nowMicros / 2_500_000 % 2 == 0 ? 200 : 52;
            }
        },
        /** Also serves a varying number of connections of other relays, which the limiter cannot observe. */
        OTHERS_UNSEEN(100) {
            @Override
            int capacity(long nowMicros) {
                return (int) (70 + 30 * Math.sin(nowMicros / 8e6));
            }
        },
        /** Has a constant capacity, while a slow dependency makes setups 60 times as long for 20 s. */
        SLOW_STORE(200) {
            @Override
            int capacity(long nowMicros) {
                return 200;
            }

            @Override
            double setupSlowdown(long nowMicros) {
                return nowMicros > 40_000_000 && nowMicros < 60_000_000 ? 60 : 1;
            }
        };

        private final int maxCapacity;

        CapacityProfile(int maxCapacity) {
            this.maxCapacity = maxCapacity;
        }

        /** Maximum number of concurrent connections at this time. */
        abstract int capacity(long nowMicros);

        /** Factor by which setups are slowed down at this time; 1 for none. */
        double setupSlowdown(long nowMicros) {
            return 1;
        }
    }

    /**
     * Result of a run.
     *
     * @param utilization mean fraction of the capacity in use after the warm-up
     * @param rejectedPerSecond rate of attempts that the server rejected, including the warm-up
     * @param shedPerSecond rate of established connections that the server dropped, including the warm-up
     */
    record Outcome(double utilization, double rejectedPerSecond, double shedPerSecond) {}

    private final CapacityProfile profile;
    /** Null for the oracle, which attempts a connection exactly when the server accepts it. */
    private final ConcurrencyLimiter limiter;

    private final SplittableRandom random;
    private final PriorityQueue<Long> endTimes = new PriorityQueue<>();
    private final double arrivalsPerMicro;
    private double nextArrivalMicros;
    private int established;
    private long rejected;
    private long shed;

    EstimatorSimulation(CapacityProfile profile, ConcurrencyLimiter limiter, long seed) {
        this.profile = profile;
        this.limiter = limiter;
        this.random = new SplittableRandom(seed);
        this.arrivalsPerMicro = OFFERED_LOAD * profile.maxCapacity / MEAN_LIFETIME_MICROS;
    }

    /** Simulates a run of this duration; must be called only once. */
    Outcome run(long durationMicros) {
        double usedCapacity = 0;
        double totalCapacity = 0;
        for (long now = STEP_MICROS; now < durationMicros; now += STEP_MICROS) {
            closeEnded(now);
            int capacity = profile.capacity(now);
            shedAbove(capacity, now);
            processArrivals(capacity, now);
            if (now > durationMicros / WARM_UP_DIVISOR) {
                usedCapacity += established;
                totalCapacity += capacity;
            }
        }
        double seconds = durationMicros / MICROS_PER_SECOND;
        return new Outcome(usedCapacity / totalCapacity, rejected / seconds, shed / seconds);
    }

    private void closeEnded(long now) {
        while (!endTimes.isEmpty() && endTimes.peek() <= now) {
            endTimes.poll();
            established--;
            if (limiter != null) {
                limiter.onClosed(established);
            }
        }
    }

    private void shedAbove(int capacity, long now) {
        while (established > capacity) {
            // lifetimes are exponentially distributed and thus memoryless: removing any end time is equivalent
            endTimes.poll();
            established--;
            shed++;
            if (limiter != null) {
                limiter.onDropped(established, now, random.nextDouble());
            }
        }
    }

    private void processArrivals(int capacity, long now) {
        while (nextArrivalMicros <= now) {
            if (limiter == null ? established < capacity : limiter.admits(established, now)) {
                attempt(capacity, now);
            }
            nextArrivalMicros += exponential() / arrivalsPerMicro;
        }
    }

    private void attempt(int capacity, long now) {
        double draw = random.nextDouble();
        if (established >= capacity) {
            rejected++;
            limiter.onRejected(established, now, draw);
            return;
        }
        established++;
        endTimes.add(now + (long) (exponential() * MEAN_LIFETIME_MICROS));
        if (limiter != null) {
            limiter.onEstablished(established, setupMicros(capacity, now), now, draw);
        }
    }

    private long setupMicros(int capacity, long now) {
        double utilization = (double) established / capacity;
        return (long) (IDLE_SETUP_MICROS * (1 + 4 * Math.pow(utilization, 4)) * profile.setupSlowdown(now));
    }

    private double exponential() {
        return -Math.log(1 - random.nextDouble());
    }
}
