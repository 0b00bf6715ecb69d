package sandstack.decisions;

import java.util.SplittableRandom;

/**
 * A condition of the servers and clients of a {@link DigestStream} that lasts for a few hundred events. It determines
 * the longest pause between events, the frequencies of the kinds of events, and the behaviour of servers.
 */
enum DigestCondition {
    CALM(25_000),
    BURST(3_000),
    QUIET(300_000),
    OVERLOAD(20_000),
    FULL(15_000),
    OUTAGE(20_000);

    private static final AttemptOutcome[] OUTCOMES = {
        AttemptOutcome.ERROR,
        AttemptOutcome.REJECTED,
        AttemptOutcome.TIMEOUT,
        AttemptOutcome.CONNECT_FAILED,
        AttemptOutcome.RESET,
        AttemptOutcome.CANCELLED,
        AttemptOutcome.NOT_SENT,
        AttemptOutcome.OK
    };

    final int longestPauseMicros;

    DigestCondition(int longestPauseMicros) {
        this.longestPauseMicros = longestPauseMicros;
    }

    /** Draws the next condition: calm in half of all cases. */
    static DigestCondition next(SplittableRandom random) {
        return switch (random.nextInt(10)) {
            case 0 -> BURST;
            case 1 -> QUIET;
            case 2 -> OVERLOAD;
            case 3 -> FULL;
            case 4 -> OUTAGE;
            default -> CALM;
        };
    }

    /**
     * Draws a kind of event, as an index into the weights; {@link DigestStream} creates the event of that kind. Kind 0
     * gets what the weights leave of 100; weights beyond a sum of 100 have no effect.
     */
    int kind(SplittableRandom random) {
        int[] weights = weights();
        int draw = random.nextInt(100);
        for (int kind = 0; kind < weights.length; kind++) {
            draw -= weights[kind];
            if (draw < 0) {
                return kind;
            }
        }
        return 0;
    }

    /**
     * Weights in percent of these kinds of events: request, end of an attempt, end of a connection, load report, delay
     * report, endpoint list, rare event, disconnect.
     */
    private int[] weights() {
        return switch (this) {
            case CALM -> new int[] {24, 30, 10, 12, 12, 3, 3, 3};
            case BURST -> new int[] {55, 28, 3, 5, 5, 2, 1, 1};
            case QUIET -> new int[] {6, 10, 14, 20, 20, 8, 5, 10};
            case OVERLOAD -> new int[] {30, 30, 2, 18, 24, 1, 1, 1};
            case FULL -> new int[] {34, 44, 5, 5, 5, 2, 2, 3};
            case OUTAGE -> new int[] {32, 36, 8, 5, 5, 8, 2, 2};
        };
    }

    /** Whether an attempt at the server with this number establishes a connection. */
    boolean succeeds(int server, SplittableRandom random) {
        return switch (this) {
            case FULL -> random.nextInt(10) < 4;
            case OUTAGE -> server % 2 == 0 && random.nextInt(10) < 7;
            case OVERLOAD -> random.nextInt(10) < 9;
            default -> random.nextInt(20) < 17;
        };
    }

    /** Draws the outcome of an attempt that establishes no connection. */
    AttemptOutcome failure(SplittableRandom random) {
        return switch (this) {
            case FULL -> random.nextInt(8) > 0 ? AttemptOutcome.REJECTED : any(random);
            case OUTAGE -> random.nextInt(3) > 0 ? AttemptOutcome.TIMEOUT : any(random);
            default -> any(random);
        };
    }

    static AttemptOutcome any(SplittableRandom random) {
        return OUTCOMES[random.nextInt(OUTCOMES.length)];
    }

    /** Draws a load for a report, in microseconds of work per second; a few draws are invalid or extreme. */
    double load(SplittableRandom random) {
        return switch (random.nextInt(60)) {
            case 0 -> 0;
            case 1 -> -5_000;
            case 2 -> Double.NaN;
            case 3 -> random.nextInt(4) == 0 ? 1e300 : 2e6;
            case 4, 5, 6 -> 100_000 + random.nextDouble() * 300_000;
            default -> random.nextDouble() * (this == OVERLOAD ? 250_000 : 60_000);
        };
    }

    /** Draws a target towards which the message delay of a server changes. */
    double delayMicros(SplittableRandom random) {
        double objectiveMultiple = this == OVERLOAD ? 0.7 + random.nextDouble() * 2 : random.nextDouble() * 0.8;
        return DigestScenario.MESSAGE_OBJECTIVE_MICROS * objectiveMultiple;
    }
}
