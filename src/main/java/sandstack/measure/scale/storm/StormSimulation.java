package sandstack.measure.scale.storm;

import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * Plays the return of a lost zone's clients for a sample of the remaining relays: each client of the sample by itself,
 * each attempt at a relay drawn anew from the sample. A relay makes a bounded number of set-ups a second, keeps no more
 * waiting than it can set up within its patience, and refuses the rest at once. Time goes in steps.
 *
 * <p>The same seed gives the same figures. One thread; O(attempts).
 */
public final class StormSimulation {
    /** Microseconds of a step. */
    public static final long STEP = 10_000;

    private static final int STEPS_A_SECOND = (int) (1_000_000 / STEP);
    private static final int MOST_SECONDS = 120;
    private static final double NEARLY_ALL = 0.99;

    private final StormSetting setting;
    private final ClientBehaviour behaviour;
    private final SplittableRandom random;
    private final int sampled;
    private final StepBuckets due = new StepBuckets(MOST_SECONDS * STEPS_A_SECOND);
    private final byte[] interval;
    private final long[] intervalEnd;
    private final double[] backlog;
    private final double[] credit;
    private final int[] acceptedBySecond = new int[MOST_SECONDS];
    private final int[] attemptsBySecond = new int[MOST_SECONDS];
    private final double[] setUpsBySecond = new double[MOST_SECONDS];
    private int stepPeak;
    private long attempts;
    private long refusals;
    private long accepted;

    /**
     * Makes the relays and their clients; nobody comes yet.
     *
     * @param sampledRelays so many of the remaining relays are played, with their part of the clients
     */
    public StormSimulation(StormSetting setting, ClientBehaviour behaviour, int sampledRelays, long seed) {
        this.setting = setting;
        this.behaviour = behaviour;
        this.random = new SplittableRandom(seed);
        this.sampled = Math.min(sampledRelays, setting.remaining());
        int clients = (int) (setting.lostClients() * sampled / setting.remaining());
        interval = new byte[clients];
        intervalEnd = new long[clients];
        backlog = new double[sampled];
        credit = new double[sampled];
    }

    /** Plays until all clients are back, or no longer than two minutes. */
    public StormResult run() {
        for (int client = 0; client < interval.length; client++) {
            due.add(0, step(firstAttempt()), client);
        }
        int[] arrivals = new int[sampled];
        int step = 0;
        while (accepted < interval.length && step < MOST_SECONDS * STEPS_A_SECOND) {
            Arrays.fill(arrivals, 0);
            work(step / STEPS_A_SECOND);
            int[] clients = due.take(step);
            shuffle(clients);
            for (int client : clients) {
                int relay = random.nextInt(sampled);
                arrivals[relay]++;
                attempt(client, relay, step);
            }
            attemptsBySecond[step / STEPS_A_SECOND] += clients.length;
            stepPeak = Math.max(stepPeak, Arrays.stream(arrivals).max().orElse(0));
            step++;
        }
        return result(step);
    }

    /** Whoever comes in one step comes in a drawn order. */
    private void shuffle(int[] clients) {
        for (int i = clients.length - 1; i > 0; i--) {
            int other = random.nextInt(i + 1);
            int client = clients[i];
            clients[i] = clients[other];
            clients[other] = client;
        }
    }

    private long firstAttempt() {
        return behaviour == ClientBehaviour.AT_ONCE || behaviour == ClientBehaviour.AT_ONCE_THEN_ADVICE ? 0 : spread();
    }

    private long spread() {
        return random.nextLong(setting.clients().earliest(), setting.clients().latest());
    }

    /** Each relay sets up those that wait; time it spent on refusals is paid off first. */
    private void work(int second) {
        double each = setting.admission().setUps() / STEPS_A_SECOND;
        for (int relay = 0; relay < sampled; relay++) {
            credit[relay] += each;
            if (credit[relay] > 0) {
                double setUps = Math.min(backlog[relay], credit[relay]);
                backlog[relay] -= setUps;
                setUpsBySecond[second] += setUps;
                credit[relay] = 0;
            }
        }
    }

    private void attempt(int client, int relay, int step) {
        attempts++;
        double room = setting.admission().setUps() * setting.admission().patience() / 1e6;
        double owed = Math.max(0, -credit[relay]);
        if (backlog[relay] + owed + 1 <= room) {
            backlog[relay]++;
            accepted++;
            acceptedBySecond[step / STEPS_A_SECOND]++;
            return;
        }
        refusals++;
        // refusals cannot cost more time than there is: the rest of the crowd waits at the door of the system
        credit[relay] = Math.max(credit[relay] - setting.admission().refusalCost(), -room);
        due.add(step + 1, step(nextAttempt(client, step * STEP)), client);
    }

    private long nextAttempt(int client, long now) {
        return switch (behaviour) {
            case AT_ONCE -> now + setting.clients().connectTimeout();
            case SPREAD -> now + spread();
            case SPREAD_THEN_ADVICE, AT_ONCE_THEN_ADVICE -> advice(client, now);
        };
    }

    /** The next interval begins where the present one ends and is twice as long; the moment is drawn over all of it. */
    private long advice(int client, long now) {
        int next = Math.max(interval[client] + 1, setting.backOff().first());
        interval[client] = (byte) Math.min(next, setting.backOff().longest());
        long length = setting.backOff().slot() << interval[client];
        long begins = Math.max(now, intervalEnd[client]);
        intervalEnd[client] = begins + length;
        return begins + random.nextLong(length);
    }

    private static int step(long micros) {
        return (int) (micros / STEP);
    }

    private StormResult result(int steps) {
        int seconds = Math.min(MOST_SECONDS, steps / STEPS_A_SECOND + 1);
        double[] each = new double[seconds];
        int over = 0;
        int lastOver = 0;
        long soFar = 0;
        int nearlyAll = -1;
        for (int second = 0; second < seconds; second++) {
            each[second] = attemptsBySecond[second] / (double) sampled;
            if (each[second] > setting.admission().setUps()) {
                over++;
                lastOver = second + 1;
            }
            soFar += acceptedBySecond[second];
            if (nearlyAll < 0 && soFar >= NEARLY_ALL * interval.length) {
                nearlyAll = second + 1;
            }
        }
        double mostSetUps = Arrays.stream(setUpsBySecond).max().orElse(0) / sampled;
        return new StormResult(
                each,
                Arrays.stream(each).max().orElse(0),
                stepPeak * (double) STEPS_A_SECOND,
                over,
                lastOver,
                nearlyAll,
                accepted == interval.length ? steps / (double) STEPS_A_SECOND : -1,
                attempts / (double) interval.length,
                refusals / (double) interval.length,
                mostSetUps * setting.remaining() / setting.fleet().feedServers());
    }
}
