package sandstack.measure;

import sandstack.capacity.CapacityEstimate;
import sandstack.capacity.CapacityModel;
import sandstack.capacity.StatedCapacities;

/**
 * An algorithm that limits the concurrent connections to one server whose capacity it has to estimate. Implementations
 * are compared on the same simulated runs; all times are simulated microseconds. Not thread-safe.
 */
interface ConnectionLimiter {
    /**
     * Returns whether another connection may be attempted.
     *
     * @param established connections that the server has now
     */
    boolean admits(int established, long nowMicros);

    /**
     * Called after a connection was established.
     *
     * @param established connections of the server, this one included
     * @param setupMicros how long the setup took
     * @param draw uniform in [0, 1), for algorithms that randomize
     */
    void onEstablished(int established, long setupMicros, long nowMicros, double draw);

    /** Called after the server rejected a connection while it had this many. */
    void onRejected(int established, long nowMicros, double draw);

    /** Called after a client closed its connection; the server has this many left. */
    void onClosed(int established);

    /** Called after the server dropped an established connection; it has this many left. */
    void onDropped(int established, long nowMicros, double draw);

    /** The algorithms that are compared. */
    enum Algorithm {
        /** Knows the capacity: the upper bound for all others. Has no limiter. */
        ORACLE,
        /** The estimate that the load balancer uses. Reports print it as BRACKET. */
        CAPACITY_ESTIMATE {
            @Override
            public String toString() {
                return "BRACKET";
            }
        },
        /** Additive increase, multiplicative decrease (RFC 5681), as in Netflix's concurrency-limits. */
        AIMD,
        /** The ratio of the long-term mean setup time to the latest one, as in Gradient2Limit of that library. */
        GRADIENT,
        /**
         * A Kalman filter: a random walk of the capacity, corrected by rejections; admits up to one sigma above the
         * mean.
         */
        KALMAN;

        /** Returns a new limiter; null for {@link #ORACLE}. */
        ConnectionLimiter newLimiter() {
            return switch (this) {
                case ORACLE -> null;
                case CAPACITY_ESTIMATE -> new CapacityEstimateLimiter();
                case AIMD -> new AimdLimiter();
                case GRADIENT -> new GradientLimiter();
                case KALMAN -> new KalmanLimiter();
            };
        }
    }

    /** Adapts the load balancer's {@link CapacityEstimate}. */
    final class CapacityEstimateLimiter implements ConnectionLimiter {
        private final CapacityEstimate estimate = new CapacityModel(StatedCapacities.NONE, 20_000, 1).newEstimate();

        @Override
        public boolean admits(int established, long nowMicros) {
            boolean admitted = estimate.admits(nowMicros);
            if (admitted) {
                estimate.onAttemptStarted();
            }
            return admitted;
        }

        @Override
        public void onEstablished(int established, long setupMicros, long nowMicros, double draw) {
            estimate.onAttemptEnded();
            estimate.onEstablished(1, nowMicros, draw);
        }

        @Override
        public void onRejected(int established, long nowMicros, double draw) {
            estimate.onAttemptEnded();
            estimate.onRejected(nowMicros, draw);
        }

        @Override
        public void onClosed(int established) {
            estimate.onClosed(1);
        }

        @Override
        public void onDropped(int established, long nowMicros, double draw) {
            estimate.onClosed(1);
            estimate.onConnectionDropped(nowMicros, draw);
        }
    }

    /** Raises the limit by one for each full limit of setups, lowers it by a tenth after a loss. */
    class AimdLimiter implements ConnectionLimiter {
        private static final long LOSS_WINDOW_MICROS = 100_000;
        double limit = Double.POSITIVE_INFINITY;
        private long lastDecreaseMicros = Long.MIN_VALUE / 2;

        @Override
        public boolean admits(int established, long nowMicros) {
            return established + 1 <= limit;
        }

        @Override
        public void onEstablished(int established, long setupMicros, long nowMicros, double draw) {
            if (established >= limit * 0.9) {
                limit += 1 / Math.max(1, limit);
            }
        }

        @Override
        public void onRejected(int established, long nowMicros, double draw) {
            // rejections in one burst count as one loss
            if (nowMicros - lastDecreaseMicros > LOSS_WINDOW_MICROS) {
                limit = Math.max(1, Math.min(limit, established) * 0.9);
                lastDecreaseMicros = nowMicros;
            }
        }

        @Override
        public void onClosed(int established) {}

        @Override
        public void onDropped(int established, long nowMicros, double draw) {
            onRejected(established, nowMicros, draw);
        }
    }

    /** Scales the limit by the ratio of the long-term mean setup time to the latest one. */
    final class GradientLimiter extends AimdLimiter {
        private double longTermMeanMicros;

        GradientLimiter() {
            limit = 20;
        }

        @Override
        public void onEstablished(int established, long setupMicros, long nowMicros, double draw) {
            longTermMeanMicros += (setupMicros - longTermMeanMicros) * (longTermMeanMicros == 0 ? 1 : 0.002);
            if (established < limit / 2) {
                return;
            }
            double gradient = Math.max(0.5, Math.min(1, 1.5 * longTermMeanMicros / setupMicros));
            limit += 0.2 * (limit * gradient + Math.sqrt(limit) - limit);
        }
    }

    /** Tracks mean and variance of the server's capacity. */
    final class KalmanLimiter implements ConnectionLimiter {
        private double mean = Double.POSITIVE_INFINITY;
        private double variance;
        private long updatedAtMicros;

        private void predict(long nowMicros) {
            // assumes a change of a tenth of the capacity in a second
            double standardDeviation = mean * 0.1 + 1;
            variance += standardDeviation * standardDeviation * (nowMicros - updatedAtMicros) / 1e6;
            updatedAtMicros = nowMicros;
        }

        @Override
        public boolean admits(int established, long nowMicros) {
            if (Double.isInfinite(mean)) {
                return true;
            }
            predict(nowMicros);
            return established + 1 <= mean + Math.sqrt(variance);
        }

        @Override
        public void onEstablished(int established, long setupMicros, long nowMicros, double draw) {
            if (established > mean) {
                mean = established;
            }
        }

        @Override
        public void onRejected(int established, long nowMicros, double draw) {
            if (Double.isInfinite(mean)) {
                mean = established;
                variance = 1;
                updatedAtMicros = nowMicros;
                return;
            }
            predict(nowMicros);
            double noise = Math.pow(0.02 * established + 0.5, 2);
            double gain = variance / (variance + noise);
            mean += gain * (established - mean);
            variance *= 1 - gain;
        }

        @Override
        public void onClosed(int established) {}

        @Override
        public void onDropped(int established, long nowMicros, double draw) {
            onRejected(established, nowMicros, draw);
        }
    }
}
