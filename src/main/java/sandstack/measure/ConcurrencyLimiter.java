package sandstack.measure;

import sandstack.capacity.CapacityEstimate;
import sandstack.capacity.CapacityModel;
import sandstack.capacity.StatedCapacities;

/**
 * An algorithm that estimates the capacity of one server and limits the concurrent connections to it accordingly.
 * {@link EstimatorMeasurement} compares the implementations on the same simulated runs. All times are simulated
 * microseconds. Not thread-safe.
 */
interface ConcurrencyLimiter {
    /**
     * Returns whether another connection may be attempted. If true, the caller attempts it at once and reports the
     * result with {@link #onEstablished} or {@link #onRejected}.
     *
     * @param established number of connections currently established at the server
     */
    boolean admits(int established, long nowMicros);

    /**
     * Called after a connection was established.
     *
     * @param established number of connections established at the server, including this one
     * @param setupMicros duration of the setup
     * @param draw random number, uniform in [0, 1), for randomized algorithms
     */
    void onEstablished(int established, long setupMicros, long nowMicros, double draw);

    /** Called after the server rejected an attempt; {@code established} connections were open at that time. */
    void onRejected(int established, long nowMicros, double draw);

    /** Called after a client closed its connection; {@code established} connections remain. */
    void onClosed(int established);

    /** Called after the server dropped an established connection; {@code established} connections remain. */
    void onDropped(int established, long nowMicros, double draw);

    /** The algorithms that are compared. */
    enum Algorithm {
        /** Attempts a connection exactly when the server accepts it: the reference for the others. Has no limiter. */
        ORACLE,
        /** The load balancer's {@link CapacityEstimate}. Reports print it as BRACKET. */
        CAPACITY_ESTIMATE {
            @Override
            public String toString() {
                return "BRACKET";
            }
        },
        /** Additive increase, multiplicative decrease (RFC 5681), as in Netflix's concurrency-limits. */
        AIMD,
        /**
         * Follows the ratio of the long-term mean setup time to the latest one, as concurrency-limits' Gradient2Limit.
         */
        GRADIENT,
        /**
         * A Kalman filter that models the capacity as a random walk and takes rejections as its measurements. Admits
         * connections up to one standard deviation above the mean.
         */
        KALMAN;

        /** Returns a new limiter; null for {@link #ORACLE}. */
        ConcurrencyLimiter newLimiter() {
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
    final class CapacityEstimateLimiter implements ConcurrencyLimiter {
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

    /**
     * Unlimited until the first rejection or drop. Raises the limit by one per {@code limit} setups while at least 90%
     * of it is in use. After a rejection or drop, lowers it to 90% of itself or of the established connections,
     * whichever is less.
     */
    class AimdLimiter implements ConcurrencyLimiter {
        private static final long MIN_DECREASE_INTERVAL_MICROS = 100_000;
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
            // a burst of rejections lowers the limit only once
            if (nowMicros - lastDecreaseMicros > MIN_DECREASE_INTERVAL_MICROS) {
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

    /**
     * Starts with a limit of 20. While at least half of the limit is in use, each setup scales the limit by 1.5 times
     * the ratio of the long-term mean setup time to the latest one, bounded to the range from 0.5 to 1, adds the square
     * root of the limit as headroom, and applies a fifth of the change. Rejections and drops lower the limit as in
     * {@link AimdLimiter}.
     */
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

    /**
     * Estimates mean and variance of the server's capacity by a Kalman filter. Unlimited until the first rejection or
     * drop; after that, a number of established connections above the mean replaces the mean.
     */
    final class KalmanLimiter implements ConcurrencyLimiter {
        private double mean = Double.POSITIVE_INFINITY;
        private double variance;
        private long updatedAtMicros;

        private void predict(long nowMicros) {
            // process noise: in one second the capacity changes with a standard deviation of a tenth of it, plus one
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
            double measurementNoise = Math.pow(0.02 * established + 0.5, 2);
            double gain = variance / (variance + measurementNoise);
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
