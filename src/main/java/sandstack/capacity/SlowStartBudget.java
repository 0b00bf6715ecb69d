package sandstack.capacity;

import java.util.function.DoubleSupplier;

/**
 * What one relay may send to a server in slow start, or to one that has just been overloaded. Permits come at random,
 * at this relay's share of the rate that the whole fleet is allowed; each is valid for one window and then expires.
 * Permits of many relays would otherwise accumulate while there is no demand and be spent together in the first burst.
 * Expiry keeps what the fleet can spend at once to what it may spend in one window, without communication between the
 * relays.
 *
 * <p>The method is our own: a Poisson process, thinned by the number of relays, that is sampled when there is something
 * to send.
 *
 * <p>Owned by the load balancer's state of that server; used by one thread; every call is O(1). The number and order of
 * the draws that a call makes are part of its contract, since a run is reproduced from its seed.
 */
public final class SlowStartBudget {
    /** Weight of a cold server with a permit against warm ones: the permit expires, and their headroom does not. */
    private static final double PERMIT_SELECTION_WEIGHT = 1_000;
    /** Sends that one relay counts in a window; a server that takes more is so large that chance evens out. */
    private static final int MAX_COUNTED_SENDS = 32;
    /** Share of a server's budget for the relays of its own zone together. */
    private static final double HOME_ZONE_SHARE = 0.75;

    private static final long NO_PERMIT = Long.MIN_VALUE;

    private long permitCheckedAtMicros;
    private long newClientCheckedAtMicros;
    private long permitValidUntilMicros = NO_PERMIT;
    /** Ring buffer of the latest sends; null before the first one. */
    private long[] sendTimesMicros;
    /** Sends since the server started. */
    private int sendCount;

    /**
     * The rule of the settings by which a server in slow start is overloaded: in one window it gets more than a
     * multiple of what it can do then.
     *
     * @param overloadMultiple of the present capacity
     * @param windowMicros length of the window
     * @param relayCount relays that connect to the server
     * @param zoneCount zones over which they are spread
     */
    public record Rule(double overloadMultiple, long windowMicros, int relayCount, int zoneCount) {
        /** A server is overloaded by N + 2 sqrt(N) + 2 requests in a window, where N of them are allowed. */
        private static final double OVERLOAD_ROOT_MARGIN = 2;

        private static final double OVERLOAD_CONSTANT_MARGIN = 2;
        /** How many standard deviations of what all relays send have to fit below the overload. */
        private static final double SAFETY_DEVIATIONS = 3;

        /** The requests in a window that overload a server, where so many are allowed. */
        double overloadingRequests(double allowedRequests) {
            return allowedRequests + OVERLOAD_ROOT_MARGIN * Math.sqrt(allowedRequests) + OVERLOAD_CONSTANT_MARGIN;
        }

        /** How many requests one process of a relay may send in a window: its share of an overload, at least one. */
        int maxSendsPerWindow(double allowedRequests, int processCount) {
            double share = overloadingRequests(allowedRequests) / (relayCount * processCount);
            return (int) Math.min(MAX_COUNTED_SENDS, Math.max(1, share));
        }

        /**
         * The permits that all relays together get in a window. What remains of the allowed requests after those of new
         * clients also has to bear a burst after a quiet time: the unspent permits, at most one at each relay of a
         * zone, and on top of them those of one window.
         *
         * @param allowedRequests in a window
         * @param newClientRequests how many of the allowed requests are those of new clients
         */
        double permitsPerWindow(double allowedRequests, double newClientRequests) {
            double remaining = Math.max(0, safeRequests(allowedRequests) - newClientRequests);
            double afterBurst = (remaining - relaysPerZone(relayCount, zoneCount)) / (2 - HOME_ZONE_SHARE);
            return Math.max(remaining / 2, afterBurst);
        }

        /**
         * The mean number of requests in a window that stays below the overload. Relays draw independently of each
         * other, but each counts its own sends, so their sum varies by sqrt(mean (relays - 1) / relays). The result is
         * the mean m that solves m + 3 deviations = overload, and at most one root more than what is allowed.
         */
        private double safeRequests(double allowedRequests) {
            double spread = SAFETY_DEVIATIONS * Math.sqrt((relayCount - 1.0) / relayCount);
            double overload = overloadingRequests(allowedRequests);
            double rootOfMean = (Math.sqrt(spread * spread + 4 * overload) - spread) / 2;
            return Math.min(rootOfMean * rootOfMean, allowedRequests + Math.sqrt(allowedRequests) + 1);
        }
    }

    /** The server has just started. */
    public void onRestart(long nowMicros) {
        permitCheckedAtMicros = nowMicros;
        newClientCheckedAtMicros = nowMicros;
        permitValidUntilMicros = NO_PERMIT;
        sendCount = 0;
    }

    /**
     * Whether a server in slow start may be sent one more request now.
     *
     * @param processCount processes that make up this relay
     * @param requestsPerMicro what the server can take at present, in requests a microsecond
     * @param homeZone whether the server is in this relay's zone
     * @param newClient whether the client connects for the first time; those that return do so together and need a
     *     permit
     * @param uniformDraws draws from [0, 1)
     */
    public boolean admitsDuringSlowStart(
            Rule rule,
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

    /** When the send was that so many others have followed. */
    private long sendTimeMicros(int laterSends) {
        return sendTimesMicros[Math.floorMod(sendCount - 1 - laterSends, MAX_COUNTED_SENDS)];
    }

    /**
     * Whether the request of a new client may be sent now. New clients come to the relays independently, not in bursts:
     * the probability grows with the time since the last one asked, so that all relays together send what their rates
     * add up to, however seldom each is asked.
     */
    private boolean admitsNewClient(double requestsPerMicro, long nowMicros, double uniformDraw) {
        double probability = 1 - Math.exp(-requestsPerMicro * (nowMicros - newClientCheckedAtMicros));
        newClientCheckedAtMicros = nowMicros;
        return uniformDraw < probability;
    }

    /**
     * Whether there is a permit now. Whether one came since the last call, and when, is drawn here.
     *
     * @param permitsPerMicro rate of this relay's permits
     * @param validityMicros how long a permit is valid
     * @param uniformDraws draws from [0, 1)
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

    /** A request was sent: its permit, if it needed one, is used up. */
    public void onSent(long nowMicros) {
        permitValidUntilMicros = NO_PERMIT;
        if (sendTimesMicros == null) {
            sendTimesMicros = new long[MAX_COUNTED_SENDS];
        }
        sendTimesMicros[sendCount++ % MAX_COUNTED_SENDS] = nowMicros;
    }

    /**
     * The factor of a server's selection weight, once there is a permit where it needs one.
     *
     * @param slowStartFraction the fraction of its full capacity that the server has by now
     */
    public static double selectionWeight(double slowStartFraction) {
        return slowStartFraction < 1 ? PERMIT_SELECTION_WEIGHT : 1;
    }

    /** The share of a server's budget for one relay, of the server's own zone or of another. */
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
