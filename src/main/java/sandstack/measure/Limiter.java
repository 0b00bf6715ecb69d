package sandstack.measure;

import java.util.function.Supplier;
import sandstack.capacity.CapacityEstimate;
import sandstack.capacity.CapacityModel;
import sandstack.capacity.StatedCapacities;

/** One way to estimate what a server holds, for a comparison on the same runs. One thread, simulated time. */
interface Limiter {
    boolean open(int standing, long now);

    void stood(int standing, long setUp, long now, double draw);

    /** Turned away while so many stood. */
    void away(int standing, long now, double draw);

    void left(int standing);

    /** One that stood was dropped; so many stand after it. */
    void shed(int standing, long now, double draw);

    /** The ways that are compared, by name. */
    enum Kind {
        /** Knows what fits: what can be had at all. */
        ORACLE(() -> null),
        /** What the program uses. */
        BRACKET(Bracketed::new),
        /** Additive increase, multiplicative decrease, as in RFC 5681 and adaptive concurrency limits. */
        AIMD(Aimd::new),
        /** A gradient of set-up times against their own long mean, as in the second gradient limit of that library. */
        GRADIENT(Gradient::new),
        /** A random walk of the capacity, corrected by each refusal (Kalman, 1960); open up to a standard deviation. */
        KALMAN(Kalman::new);

        private final Supplier<Limiter> made;

        Kind(Supplier<Limiter> made) {
            this.made = made;
        }

        Limiter make() {
            return made.get();
        }
    }

    /** The program's own. */
    final class Bracketed implements Limiter {
        private final CapacityEstimate estimate = new CapacityModel(StatedCapacities.NONE, 20_000, 1).newEstimate();

        @Override
        public boolean open(int standing, long now) {
            boolean open = estimate.admits(now);
            if (open) {
                estimate.onAttemptStarted();
            }
            return open;
        }

        @Override
        public void stood(int standing, long setUp, long now, double draw) {
            estimate.onAttemptEnded();
            estimate.onEstablished(1, now, draw);
        }

        @Override
        public void away(int standing, long now, double draw) {
            estimate.onAttemptEnded();
            estimate.onRejected(now, draw);
        }

        @Override
        public void left(int standing) {
            estimate.onClosed(1);
        }

        @Override
        public void shed(int standing, long now, double draw) {
            estimate.onClosed(1);
            estimate.onConnectionDropped(now, draw);
        }
    }

    /** A limit that rises by one for each limit's worth of set-ups and falls by a tenth. */
    class Aimd implements Limiter {
        private static final long BURST = 100_000;
        double limit = Double.POSITIVE_INFINITY;
        private long fell = Long.MIN_VALUE / 2;

        @Override
        public boolean open(int standing, long now) {
            return standing + 1 <= limit;
        }

        @Override
        public void stood(int standing, long setUp, long now, double draw) {
            if (standing >= limit * 0.9) {
                limit += 1 / Math.max(1, limit);
            }
        }

        @Override
        public void away(int standing, long now, double draw) {
            // a burst is one loss
            if (now - fell > BURST) {
                limit = Math.max(1, Math.min(limit, standing) * 0.9);
                fell = now;
            }
        }

        @Override
        public void left(int standing) {}

        @Override
        public void shed(int standing, long now, double draw) {
            away(standing, now, draw);
        }
    }

    /** Moves with the ratio of the long mean of set-up times to the last one. */
    final class Gradient extends Aimd {
        private double longMean;

        Gradient() {
            limit = 20;
        }

        @Override
        public void stood(int standing, long setUp, long now, double draw) {
            longMean += (setUp - longMean) * (longMean == 0 ? 1 : 0.002);
            if (standing < limit / 2) {
                return;
            }
            double gradient = Math.max(0.5, Math.min(1, 1.5 * longMean / setUp));
            limit += 0.2 * (limit * gradient + Math.sqrt(limit) - limit);
        }
    }

    /** Mean and variance of what the server holds. */
    final class Kalman implements Limiter {
        private double mean = Double.POSITIVE_INFINITY;
        private double variance;
        private long at;

        private void drift(long now) {
            // so much of the capacity may have changed in a second, a tenth
            double walk = mean * 0.1 + 1;
            variance += walk * walk * (now - at) / 1e6;
            at = now;
        }

        @Override
        public boolean open(int standing, long now) {
            if (Double.isInfinite(mean)) {
                return true;
            }
            drift(now);
            return standing + 1 <= mean + Math.sqrt(variance);
        }

        @Override
        public void stood(int standing, long setUp, long now, double draw) {
            if (standing > mean) {
                mean = standing;
            }
        }

        @Override
        public void away(int standing, long now, double draw) {
            if (Double.isInfinite(mean)) {
                mean = standing;
                variance = 1;
                at = now;
                return;
            }
            drift(now);
            double noise = Math.pow(0.02 * standing + 0.5, 2);
            double gain = variance / (variance + noise);
            mean += gain * (standing - mean);
            variance *= 1 - gain;
        }

        @Override
        public void left(int standing) {}

        @Override
        public void shed(int standing, long now, double draw) {
            away(standing, now, draw);
        }
    }
}
