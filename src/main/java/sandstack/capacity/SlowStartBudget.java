package sandstack.capacity;

import java.util.function.DoubleSupplier;

/**
 * Limits the requests that one process of a relay sends to a server in slow start, or to one whose messages were slow
 * recently. Permits arrive at random, at this process's share of the rate allowed to the whole fleet, which is the
 * {@linkplain #relayShare share of the relay} divided by the number of its processes; each is valid for one window and
 * then expires. Without expiry, permits of many relays would accumulate while there is no demand and be spent together
 * in the first burst. With expiry, the fleet can spend at once only what it may spend in one window, without
 * communication between the relays.
 *
 * <p>The algorithm is specific to sandstack: the permits are a Poisson process, thinned by the number of relays, that
 * is sampled when there is a request to send.
 *
 * <p>Owned by the load balancer's state of that server; used by one thread; every call is O(1). The number and order of
 * the random draws of a call are part of its contract, since a run is reproduced from its seed.
 */
public final class SlowStartBudget {
    /**
     * Selection weight of a server in slow start, relative to servers after their slow start. It is high, since a
     * permit expires while the headroom of the other servers does not.
     */
    private static final double PERMIT_SELECTION_WEIGHT = 1_000;
    /**
     * Largest number of sends per window that one process of a relay counts, and therefore the most that it makes. At a
     * server that takes more, random variation averages out.
     */
    private static final int MAX_COUNTED_SENDS = 32;
    /** Fraction of a server's budget for all relays of its own zone together. */
    private static final double HOME_ZONE_SHARE = 0.75;

    private static final long NO_PERMIT = Long.MIN_VALUE;

    private long permitCheckedAtMicros;
    private long newClientCheckedAtMicros;
    private long permitValidUntilMicros = NO_PERMIT;
    /** Ring buffer of the times of the latest sends; null before the first one. */
    private long[] sendTimesMicros;
    /** Number of sends since the server started. */
    private int sendCount;

    /**
     * When a server in slow start counts as overloaded, by the settings: it gets more requests in one window than a
     * multiple of its current capacity plus the margins of {@link #overloadThreshold}.
     *
     * @param overloadMultiple multiple of the current capacity that is allowed in a window
     * @param windowMicros length of the window
     * @param relayCount number of relays that connect to the server
     * @param zoneCount number of zones that the relays are spread over
     */
    public record OverloadRule(double overloadMultiple, long windowMicros, int relayCount, int zoneCount) {
        /** For a budget of N requests per window, N + 2 sqrt(N) + 2 requests in a window overload the server. */
        private static final double OVERLOAD_ROOT_MARGIN = 2;

        private static final double OVERLOAD_CONSTANT_MARGIN = 2;
        /**
         * Number of standard deviations between the mean of the total that all relays send and the overload threshold.
         */
        private static final double SAFETY_DEVIATIONS = 3;

        /** The number of requests per window that overloads a server whose budget is {@code allowedRequests}. */
        double overloadThreshold(double allowedRequests) {
            return allowedRequests + OVERLOAD_ROOT_MARGIN * Math.sqrt(allowedRequests) + OVERLOAD_CONSTANT_MARGIN;
        }

        /**
         * The most requests that one process of a relay may send per window: its share of the overload threshold, at
         * least 1 and at most {@link #MAX_COUNTED_SENDS}.
         */
        int maxSendsPerWindow(double allowedRequests, int processCount) {
            double share = overloadThreshold(allowedRequests) / (relayCount * processCount);
            return (int) Math.min(MAX_COUNTED_SENDS, Math.max(1, share));
        }

        /**
         * The number of permits per window for all relays together. The part of the budget that the requests of new
         * clients leave also has to cover a burst after a time without demand: the unspent permits, at most one at each
         * relay of a zone, and the permits of one window in addition.
         *
         * @param allowedRequests budget in requests per window
         * @param newClientRequests requests of new clients in that budget
         */
        double permitsPerWindow(double allowedRequests, double newClientRequests) {
            double remaining = Math.max(0, safeMeanRequests(allowedRequests) - newClientRequests);
            double afterBurst = (remaining - relaysPerZone(relayCount, zoneCount)) / (2 - HOME_ZONE_SHARE);
            return Math.max(remaining / 2, afterBurst);
        }

        /**
         * The mean number of requests per window at which the total stays below the overload threshold. Relays draw
         * independently of each other, but each counts its own sends, so the standard deviation of the total is
         * sqrt(mean (relays - 1) / relays). The result is the mean that solves mean + 3 standard deviations =
         * threshold, but at most allowedRequests + sqrt(allowedRequests) + 1.
         */
        private double safeMeanRequests(double allowedRequests) {
            double spread = SAFETY_DEVIATIONS * Math.sqrt((relayCount - 1.0) / relayCount);
            double threshold = overloadThreshold(allowedRequests);
            double rootOfMean = (Math.sqrt(spread * spread + 4 * threshold) - spread) / 2;
            return Math.min(rootOfMean * rootOfMean, allowedRequests + Math.sqrt(allowedRequests) + 1);
        }
    }

    /** Resets the budget of a server that has just started: no permit and no sends. */
    public void onRestart(long nowMicros) {
        permitCheckedAtMicros = nowMicros;
        newClientCheckedAtMicros = nowMicros;
        permitValidUntilMicros = NO_PERMIT;
        sendCount = 0;
    }

    /**
     * Whether one more request may be sent now to a server in slow start.
     *
     * @param processCount number of processes of this relay
     * @param requestsPerMicro requests per microsecond that the server can currently take
     * @param homeZone whether the server is in this relay's zone
     * @param newClient whether the client connects for the first time; returning clients arrive in bursts and need a
     *     permit
     * @param uniformDraws random draws from [0, 1)
     */
    public boolean admitsDuringSlowStart(
            OverloadRule rule,
            int processCount,
            double requestsPerMicro,
            boolean homeZone,
            boolean newClient,
            long nowMicros,
            DoubleSupplier uniformDraws) {
        double allowedRequests = requestsPerMicro * rule.windowMicros * rule.overloadMultiple;
        if (sendsSince(nowMicros - rule.windowMicros) >= rule.maxSendsPerWindow(allowedRequests, processCount)) {
            return false;
        }
        double relayShare = relayShare(homeZone, rule.relayCount, rule.zoneCount) / processCount;
        if (newClient && admitsNewClient(requestsPerMicro * relayShare, nowMicros, uniformDraws.getAsDouble())) {
            return true;
        }
        double newClientRequests = requestsPerMicro * rule.windowMicros;
        double permitsPerMicro = rule.permitsPerWindow(allowedRequests, newClientRequests) / rule.windowMicros;
        return hasPermit(permitsPerMicro * relayShare, rule.windowMicros, nowMicros, uniformDraws);
    }

    private int sendsSince(long sinceMicros) {
        int countedSends = Math.min(sendCount, MAX_COUNTED_SENDS);
        int count = 0;
        while (count < countedSends && sendTimeMicros(count) > sinceMicros) {
            count++;
        }
        return count;
    }

    /** The time of the send that was followed by {@code laterSends} more. */
    private long sendTimeMicros(int laterSends) {
        return sendTimesMicros[Math.floorMod(sendCount - 1 - laterSends, MAX_COUNTED_SENDS)];
    }

    /**
     * Whether the request of a new client may be sent now. New clients arrive at the relays independently, not in
     * bursts. The probability of admission therefore grows with the time since the previous call, so that all relays
     * together send at the sum of their rates, even if each is called rarely.
     */
    private boolean admitsNewClient(double requestsPerMicro, long nowMicros, double uniformDraw) {
        double probability = 1 - Math.exp(-requestsPerMicro * (nowMicros - newClientCheckedAtMicros));
        newClientCheckedAtMicros = nowMicros;
        return uniformDraw < probability;
    }

    /**
     * Whether there is a permit now. Draws whether one has arrived since the previous call, and when; does not use it
     * up.
     *
     * @param permitsPerMicro rate of the permits of this process
     * @param validityMicros time for which a permit is valid
     * @param uniformDraws random draws from [0, 1)
     */
    public boolean hasPermit(double permitsPerMicro, long validityMicros, long nowMicros, DoubleSupplier uniformDraws) {
        long elapsedMicros = Math.min(validityMicros, nowMicros - permitCheckedAtMicros);
        permitCheckedAtMicros = nowMicros;
        if (nowMicros < permitValidUntilMicros) {
            return true;
        }
        if (elapsedMicros > 0 && uniformDraws.getAsDouble() < 1 - Math.exp(-permitsPerMicro * elapsedMicros)) {
            long ageMicros = (long) (elapsedMicros * uniformDraws.getAsDouble());
            permitValidUntilMicros = nowMicros + validityMicros - ageMicros;
        }
        return nowMicros < permitValidUntilMicros;
    }

    /** Records that a request was sent, which uses up the permit if there is one. */
    public void onSent(long nowMicros) {
        permitValidUntilMicros = NO_PERMIT;
        if (sendTimesMicros == null) {
            sendTimesMicros = new long[MAX_COUNTED_SENDS];
        }
        sendTimesMicros[sendCount++ % MAX_COUNTED_SENDS] = nowMicros;
    }

    /**
     * The factor of the selection weight of a server; it takes effect only if the server then admits the request.
     *
     * @param slowStartFraction fraction of its full capacity that the server has reached
     */
    public static double selectionWeight(double slowStartFraction) {
        return slowStartFraction < 1 ? PERMIT_SELECTION_WEIGHT : 1;
    }

    /**
     * The fraction of a server's budget for one relay, which the processes of that relay split equally.
     *
     * @param homeZone whether the server is in the relay's zone
     */
    public static double relayShare(boolean homeZone, int relayCount, int zoneCount) {
        double relaysPerZone = relaysPerZone(relayCount, zoneCount);
        if (relaysPerZone >= relayCount) {
            return 1.0 / relayCount;
        }
        return homeZone
                ? HOME_ZONE_SHARE / relaysPerZone
                : (1 - HOME_ZONE_SHARE) / Math.max(1, relayCount - relaysPerZone);
    }

    private static double relaysPerZone(int relayCount, int zoneCount) {
        return Math.max(1, relayCount / (double) Math.max(1, zoneCount));
    }
}
