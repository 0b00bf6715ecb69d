package sandstack.capacity;

/**
 * The connections and load that this relay has at one server, and an estimate of how much the server can hold, from the
 * evidence that this relay observes. Connections and load have separate limits, since a server is bounded both in the
 * number of connections it holds and in the work it does. Other relays use the same server, and this relay does not
 * observe their use, so a limit is the part available to this relay and not the size of the server.
 *
 * <p>Loads are microseconds of work per second on a standard core; a rating is the weight of the server in the endpoint
 * list, and capacities are proportional to it.
 *
 * <p>Owned by the load balancer's state of that server; used by one thread; every call is O(1) and allocates nothing.
 * For any sequence of reports, no value becomes negative or NaN, and a server that its limit closes gets its next
 * trial, unless one is in flight, within twice the longest interval, that is 2 * 2^8 slots.
 */
public final class CapacityEstimate {
    /** Upper bound of a reported load, since a connection may report any value any number of times. */
    private static final double MAX_LOAD = 1e9;
    /** Ratings from this value on are treated as errors in the endpoint list. */
    private static final double MAX_RATING = 1e9;

    private static final double DEFAULT_RATING = 1;

    private final CapacityModel model;
    private final AdaptiveLimit connectionLimit;
    private final AdaptiveLimit loadLimit;
    private int machineKind;
    private StatedCapacity stated;
    private double rating = DEFAULT_RATING;
    private int establishedConnections;
    private int attemptsInFlight;
    /** Sum of the loads that established connections have reported. */
    private double reportedLoad;
    /** Established connections that have reported no load; each counts as the mean load at the time of the query. */
    private int connectionsWithoutLoad;

    CapacityEstimate(CapacityModel model) {
        this.model = model;
        this.connectionLimit = new AdaptiveLimit(model.slotMicros());
        this.loadLimit = new AdaptiveLimit(model.slotMicros());
        this.stated = model.stated(0);
    }

    /** Number of established connections and of attempts in flight. */
    public int connectionsAndAttempts() {
        return establishedConnections + attemptsInFlight;
    }

    /** Number of established connections from this relay. */
    public int establishedConnections() {
        return establishedConnections;
    }

    /** Load of the established connections; a connection that has reported none counts as the mean load. */
    public double establishedLoad() {
        return reportedLoad + connectionsWithoutLoad * model.meanLoad();
    }

    private double loadWithAttempts() {
        return establishedLoad() + attemptsInFlight * model.meanLoad();
    }

    /** Limit of the connections from this relay; infinite while there is no evidence of a limit. */
    public double connectionLimit() {
        return connectionLimit.limit();
    }

    /** Number of further connections that fit within the limit; infinite while there is no evidence of a limit. */
    public double freeConnections() {
        return Math.max(0, connectionLimit.limit() - establishedConnections - attemptsInFlight);
    }

    /** Whether one more connection fits within the limits, without a trial. */
    public boolean hasHeadroom() {
        if (connectionsAndAttempts() + 1 > connectionLimit.limit()) {
            return false;
        }
        return !loadLimit.isLimited()
                || establishedLoad() + (attemptsInFlight + 1) * model.meanLoad() <= loadLimit.limit();
    }

    /** Whether one more connection may be sent: it fits within the limits, or a trial is due. */
    public boolean admits(long nowMicros) {
        if (!connectionLimit.admits(connectionsAndAttempts(), 1, nowMicros)) {
            return false;
        }
        return !loadLimit.isLimited() || loadLimit.admits(loadWithAttempts(), model.meanLoad(), nowMicros);
    }

    /**
     * The fraction in use of the stated capacity, if the operator stated it as an upper bound; otherwise 0.
     *
     * @param groupCount number of groups with a connection to this server, each of which adds an overhead
     * @param slowStartFraction fraction of its full capacity that the server has reached, greater than 0
     */
    public double utilization(int groupCount, double slowStartFraction) {
        double availableWork = stated.upperBound() ? rating * slowStartFraction * stated.workPerRating() : 0;
        if (availableWork <= 0) {
            return 0;
        }
        double groupOverhead = groupCount * stated.groupOverheadConnections() * model.meanLoad();
        return (establishedLoad() + groupOverhead) / availableWork;
    }

    /** The load that corresponds to this utilization of the stated capacity. */
    public double loadForUtilization(double utilization) {
        return utilization * rating * stated.workPerRating();
    }

    /**
     * The number of connections of mean load that fills this server after its slow start. If a capacity is stated and
     * loads are known, this is the stated capacity. Otherwise it is at least the number that the connections of all
     * ready servers, or the most that one server has held, correspond to at the rating of this server.
     */
    public double capacityInConnections() {
        double statedPerRating =
                stated.workPerRating() > 0 ? stated.workPerRating() / model.meanLoad() : stated.connectionsPerRating();
        if (model.loadsKnown() && statedPerRating > 0) {
            return rating * statedPerRating;
        }
        return rating * Math.max(statedPerRating, model.observedConnectionsPerRating());
    }

    /**
     * The fraction in use of the learned limits or, without them, of the usual limit of servers of this machine kind;
     * at most 1. It is 0 if neither is known. It is also 0 if the capacity is stated as an upper bound, for which
     * {@link #utilization} applies instead.
     */
    public double occupancy() {
        if (stated.upperBound()) {
            return 0;
        }
        double occupied = connectionOccupancy();
        if (loadLimit.isLimited()) {
            occupied = Math.max(occupied, establishedLoad() / Math.max(loadLimit.limit(), 1));
        }
        return Math.min(1, occupied);
    }

    private double connectionOccupancy() {
        double limit = connectionLimit.isLimited()
                ? connectionLimit.limit()
                : model.usualConnectionsPerRating(machineKind) * rating;
        return limit <= 0 ? 1 : establishedConnections / limit;
    }

    /** Applies the server's entry in the endpoint list. A rating out of range is replaced by the default rating. */
    public void onEndpointListed(int listedKind, double listedRating) {
        machineKind = listedKind;
        rating = listedRating > 0 && listedRating < MAX_RATING ? listedRating : DEFAULT_RATING;
        stated = model.stated(listedKind);
        if (!stated.upperBound()) {
            connectionLimit.setInitialLimit(Math.ceil(stated.connectionsPerRating() * rating / model.relayCount()));
            loadLimit.setInitialLimit(stated.workPerRating() * rating / model.relayCount());
        }
    }

    /**
     * Discards the learned limits: a new process runs on the same machine, and evidence about the previous process does
     * not limit it.
     */
    public void onRestart() {
        connectionLimit.reset();
        loadLimit.reset();
        onEndpointListed(machineKind, rating);
    }

    /** Records that an attempt to set up a connection was sent. */
    public void onAttemptStarted() {
        connectionLimit.onSent(connectionsAndAttempts(), 1);
        if (loadLimit.isLimited()) {
            loadLimit.onSent(loadWithAttempts(), model.meanLoad());
        }
        attemptsInFlight++;
    }

    /** Records that an attempt in flight has ended, successfully or not. */
    public void onAttemptEnded() {
        attemptsInFlight = Math.max(0, attemptsInFlight - 1);
    }

    /** Records that the outcome of an attempt gives no evidence about the server. */
    public void onInconclusiveAttempt() {
        connectionLimit.onInconclusive();
        loadLimit.onInconclusive();
    }

    /**
     * Records that a connection is established.
     *
     * @param load as reported; 0 if none was reported
     * @param uniformDraw random draw from [0, 1) that determines the time of the next trial
     */
    public void onEstablished(double load, long nowMicros, double uniformDraw) {
        establishedConnections++;
        addConnectionLoad(load);
        model.observeConnections(establishedConnections, rating);
        connectionLimit.onEstablished(establishedConnections, 1, nowMicros, uniformDraw);
        if (loadLimit.isLimited()) {
            loadLimit.onEstablished(establishedLoad(), model.meanLoad(), nowMicros, uniformDraw);
        }
        model.onConnectionLimit(machineKind, rating, connectionLimit);
    }

    /**
     * Records that an established connection reported a load.
     *
     * @param previousLoad load before the report; 0 if none was known
     * @param newLoad load as reported; 0 if there is none
     */
    public void onLoadChanged(double previousLoad, double newLoad) {
        removeConnectionLoad(previousLoad);
        addConnectionLoad(newLoad);
    }

    /**
     * Records that an established connection has ended.
     *
     * @param load as last reported; 0 if none was reported
     */
    public void onClosed(double load) {
        establishedConnections = Math.max(0, establishedConnections - 1);
        removeConnectionLoad(load);
        if (establishedConnections == 0) {
            reportedLoad = 0;
            connectionsWithoutLoad = 0;
        }
    }

    private void addConnectionLoad(double load) {
        if (load > 0) {
            reportedLoad += load;
        } else {
            connectionsWithoutLoad++;
        }
    }

    private void removeConnectionLoad(double load) {
        if (load > 0) {
            reportedLoad = Math.max(0, reportedLoad - load);
        } else {
            connectionsWithoutLoad = Math.max(0, connectionsWithoutLoad - 1);
        }
    }

    /** Records that the server rejected a connection. */
    public void onRejected(long nowMicros, double uniformDraw) {
        connectionLimit.onFailure(establishedConnections, nowMicros, uniformDraw);
        model.onConnectionLimit(machineKind, rating, connectionLimit);
    }

    /**
     * Records that the server dropped an established connection; called after {@link #onClosed} for that connection.
     */
    public void onConnectionDropped(long nowMicros, double uniformDraw) {
        connectionLimit.onFailure(establishedConnections, nowMicros, uniformDraw);
        if (model.loadsReported()) {
            loadLimit.onFailure(establishedLoad(), nowMicros, uniformDraw);
        }
        model.onConnectionLimit(machineKind, rating, connectionLimit);
    }

    /** Returns a reported load cut to the largest plausible value, or 0 if it is negative or NaN. */
    public static double sanitizeLoad(double reported) {
        return reported > 0 ? Math.min(reported, MAX_LOAD) : 0;
    }
}
