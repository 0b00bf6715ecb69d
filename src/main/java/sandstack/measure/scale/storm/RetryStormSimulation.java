package sandstack.measure.scale.storm;

import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * Discrete-time simulation of a retry storm at a sample of the remaining relays, client by client; each attempt goes to
 * a random relay of the sample. A relay sets up a bounded number of connections per second, queues those that it can
 * set up within its maximum queueing delay, and rejects all others immediately.
 *
 * <p>Deterministic for a seed. O(attempts); not thread-safe.
 */
public final class RetryStormSimulation {
    /** Length of a step of the simulation. */
    public static final long STEP_MICROS = 10_000;

    private static final int STEPS_PER_SECOND = (int) (1_000_000 / STEP_MICROS);
    private static final int MAX_SECONDS = 120;
    private static final double NEARLY_ALL_FRACTION = 0.99;

    private final RetryStormSettings settings;
    private final ClientBehaviour behaviour;
    private final SplittableRandom random;
    private final int sampledRelays;
    private final StepBuckets dueClients = new StepBuckets(MAX_SECONDS * STEPS_PER_SECOND);
    private final byte[] backoffInterval;
    private final long[] backoffEndMicros;
    private final double[] queueLength;
    private final double[] setupBudget;
    private final int[] acceptedBySecond = new int[MAX_SECONDS];
    private final int[] attemptsBySecond = new int[MAX_SECONDS];
    private final double[] setupsBySecond = new double[MAX_SECONDS];
    private int peakAttemptsInStep;
    private long attempts;
    private long rejections;
    private long accepted;

    /**
     * Creates the sampled relays and their clients.
     *
     * @param sampleSize number of simulated relays, with their share of the clients
     */
    public RetryStormSimulation(RetryStormSettings settings, ClientBehaviour behaviour, int sampleSize, long seed) {
        this.settings = settings;
        this.behaviour = behaviour;
        this.random = new SplittableRandom(seed);
        this.sampledRelays = Math.min(sampleSize, settings.remainingRelays());
        int clients = (int) (settings.lostClients() * sampledRelays / settings.remainingRelays());
        backoffInterval = new byte[clients];
        backoffEndMicros = new long[clients];
        queueLength = new double[sampledRelays];
        setupBudget = new double[sampledRelays];
    }

    /** Simulates until all clients are accepted, at most two minutes. Must be called only once. */
    public RetryStormResult run() {
        for (int client = 0; client < backoffInterval.length; client++) {
            dueClients.add(0, stepOf(firstAttemptMicros()), client);
        }
        int[] arrivals = new int[sampledRelays];
        int step = 0;
        while (accepted < backoffInterval.length && step < MAX_SECONDS * STEPS_PER_SECOND) {
            Arrays.fill(arrivals, 0);
            processQueues(step / STEPS_PER_SECOND);
            int[] clients = dueClients.take(step);
            shuffle(clients);
            for (int client : clients) {
                int relay = random.nextInt(sampledRelays);
                arrivals[relay]++;
                attempt(client, relay, step);
            }
            attemptsBySecond[step / STEPS_PER_SECOND] += clients.length;
            peakAttemptsInStep =
                    Math.max(peakAttemptsInStep, Arrays.stream(arrivals).max().orElse(0));
            step++;
        }
        return result(step);
    }

    /** Randomizes the order of the attempts of one step (Fisher-Yates). */
    private void shuffle(int[] clients) {
        for (int i = clients.length - 1; i > 0; i--) {
            int other = random.nextInt(i + 1);
            int client = clients[i];
            clients[i] = clients[other];
            clients[other] = client;
        }
    }

    private long firstAttemptMicros() {
        return behaviour == ClientBehaviour.AT_ONCE || behaviour == ClientBehaviour.AT_ONCE_THEN_ADVICE
                ? 0
                : spreadMicros();
    }

    private long spreadMicros() {
        return random.nextLong(
                settings.clients().minSpreadMicros(), settings.clients().maxSpreadMicros());
    }

    /** Sets up queued connections at each relay, after deducting the cost of its rejections. */
    private void processQueues(int second) {
        double setupsPerStep = settings.admission().setupsPerSecond() / STEPS_PER_SECOND;
        for (int relay = 0; relay < sampledRelays; relay++) {
            setupBudget[relay] += setupsPerStep;
            if (setupBudget[relay] > 0) {
                double setups = Math.min(queueLength[relay], setupBudget[relay]);
                queueLength[relay] -= setups;
                setupsBySecond[second] += setups;
                setupBudget[relay] = 0;
            }
        }
    }

    private void attempt(int client, int relay, int step) {
        attempts++;
        double maxBacklog =
                settings.admission().setupsPerSecond() * settings.admission().maxQueueMicros() / 1e6;
        double rejectionBacklog = Math.max(0, -setupBudget[relay]);
        if (queueLength[relay] + rejectionBacklog + 1 <= maxBacklog) {
            queueLength[relay]++;
            accepted++;
            acceptedBySecond[step / STEPS_PER_SECOND]++;
            return;
        }
        rejections++;
        // bounds the cost of rejections: further attempts would wait in the accept queue of the operating system
        setupBudget[relay] = Math.max(setupBudget[relay] - settings.admission().rejectionCost(), -maxBacklog);
        dueClients.add(step + 1, stepOf(nextAttemptMicros(client, step * STEP_MICROS)), client);
    }

    private long nextAttemptMicros(int client, long nowMicros) {
        return switch (behaviour) {
            case AT_ONCE -> nowMicros + settings.clients().connectTimeoutMicros();
            case SPREAD -> nowMicros + spreadMicros();
            case SPREAD_THEN_ADVICE, AT_ONCE_THEN_ADVICE -> retryAfterMicros(client, nowMicros);
        };
    }

    /**
     * A random time in the client's next interval, which begins at the end of the last one, or now if that has passed.
     * The interval is twice as long as the last one, up to the largest interval.
     */
    private long retryAfterMicros(int client, long nowMicros) {
        int next = Math.max(backoffInterval[client] + 1, settings.backoff().firstInterval());
        backoffInterval[client] = (byte) Math.min(next, settings.backoff().lastInterval());
        long intervalMicros = settings.backoff().slotMicros() << backoffInterval[client];
        long startMicros = Math.max(nowMicros, backoffEndMicros[client]);
        backoffEndMicros[client] = startMicros + intervalMicros;
        return startMicros + random.nextLong(intervalMicros);
    }

    private static int stepOf(long micros) {
        return (int) (micros / STEP_MICROS);
    }

    private RetryStormResult result(int steps) {
        double[] attemptsAtRelay = attemptsAtRelayPerSecond(Math.min(MAX_SECONDS, steps / STEPS_PER_SECOND + 1));
        int overloadedSeconds = 0;
        int lastOverloadedSecond = 0;
        for (int second = 0; second < attemptsAtRelay.length; second++) {
            if (attemptsAtRelay[second] > settings.admission().setupsPerSecond()) {
                overloadedSeconds++;
                lastOverloadedSecond = second + 1;
            }
        }
        double peakSetupsPerRelay = Arrays.stream(setupsBySecond).max().orElse(0) / sampledRelays;
        int clients = backoffInterval.length;
        return new RetryStormResult(
                attemptsAtRelay,
                Arrays.stream(attemptsAtRelay).max().orElse(0),
                peakAttemptsInStep * (double) STEPS_PER_SECOND,
                overloadedSeconds,
                lastOverloadedSecond,
                secondsUntil99Percent(attemptsAtRelay.length),
                accepted == clients ? steps / (double) STEPS_PER_SECOND : -1,
                attempts / (double) clients,
                rejections / (double) clients,
                peakSetupsPerRelay
                        * settings.remainingRelays()
                        / settings.fleet().feedServers());
    }

    private double[] attemptsAtRelayPerSecond(int seconds) {
        double[] attemptsAtRelay = new double[seconds];
        for (int second = 0; second < seconds; second++) {
            attemptsAtRelay[second] = attemptsBySecond[second] / (double) sampledRelays;
        }
        return attemptsAtRelay;
    }

    private int secondsUntil99Percent(int seconds) {
        long acceptedSoFar = 0;
        for (int second = 0; second < seconds; second++) {
            acceptedSoFar += acceptedBySecond[second];
            if (acceptedSoFar >= NEARLY_ALL_FRACTION * backoffInterval.length) {
                return second + 1;
            }
        }
        return -1;
    }
}
