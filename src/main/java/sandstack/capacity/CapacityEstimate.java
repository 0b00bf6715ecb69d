package sandstack.capacity;

/**
 * What one server has in use from this relay and how much it can hold, by the evidence that this relay has. Connections
 * and load have a limit each: a server holds only so many connections and does only so much work. Other relays fill the
 * same server unseen, so a limit is what this relay may have there and not the size of the server.
 *
 * <p>Loads are microseconds of work a second on a standard core; ratings are the sizes in the endpoint list.
 *
 * <p>Owned by the load balancer's state of that server; used by one thread; every call is O(1) and allocates nothing.
 * Whatever is reported, no figure becomes negative or not a number, and a closed server is tried again within 2^8
 * slots.
 */
public final class CapacityEstimate {
    /** Reported loads are cut to this, since a peer may report anything as often as it likes. */
    private static final double MAX_LOAD = 1e9;
    /** Ratings from here on are taken for an error in the list. */
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
    /** Of the established connections that reported a load. */
    private double reportedLoad;
    /** Established connections that reported none; each counts as the mean load at the time of asking. */
    private int connectionsWithoutLoad;

    CapacityEstimate(CapacityModel model) {
        this.model = model;
        this.connectionLimit = new AdaptiveLimit(model.slotMicros());
        this.loadLimit = new AdaptiveLimit(model.slotMicros());
        this.stated = model.stated(0);
    }

    // ---- what is known ----------------------------------------------------------------------------

    /** Established connections and attempts to set one up. */
    public int connectionsAndAttempts() {
        return establishedConnections + attemptsInFlight;
    }

    /** Established connections. */
    public int establishedConnections() {
        return establishedConnections;
    }

    /** Load of the established connections; those that reported none count as the mean. */
    public double establishedLoad() {
        return reportedLoad + connectionsWithoutLoad * model.meanLoad();
    }

    private double loadWithAttempts() {
        return establishedLoad() + attemptsInFlight * model.meanLoad();
    }

    /** Limit of connections from this relay; infinite where no evidence speaks against more. */
    public double connectionLimit() {
        return connectionLimit.limit();
    }

    /** Connections that fit below the limit; infinite where no evidence speaks against more. */
    public double freeConnections() {
        return Math.max(0, connectionLimit.limit() - establishedConnections - attemptsInFlight);
    }

    /** Whether one more connection fits below the limits, without a trial. */
    public boolean hasHeadroom() {
        if (connectionsAndAttempts() + 1 > connectionLimit.limit()) {
            return false;
        }
        return !loadLimit.isLimited()
                || establishedLoad() + (attemptsInFlight + 1) * model.meanLoad() <= loadLimit.limit();
    }

    /** Whether one more connection may be sent: it fits below the limits, or a trial is due. */
    public boolean admits(long nowMicros) {
        if (!connectionLimit.admits(connectionsAndAttempts(), 1, nowMicros)) {
            return false;
        }
        return !loadLimit.isLimited() || loadLimit.admits(loadWithAttempts(), model.meanLoad(), nowMicros);
    }

    /**
     * The fraction in use of a capacity that the operator stated as an upper bound; 0 where none is stated so.
     *
     * @param groupCount groups with a connection at this server, each of which adds an overhead
     * @param slowStartFraction the fraction of its full capacity that the server has by now, above 0
     */
    public double utilization(int groupCount, double slowStartFraction) {
        double availableWork = stated.upperBound() ? rating * slowStartFraction * stated.workPerRating() : 0;
        if (availableWork <= 0) {
            return 0;
        }
        double groupOverhead = groupCount * stated.groupOverheadConnections() * model.meanLoad();
        return (establishedLoad() + groupOverhead) / availableWork;
    }

    /** The load that makes up this much utilization of the stated capacity. */
    public double loadForUtilization(double utilization) {
        return utilization * rating * stated.workPerRating();
    }

    /**
     * How many average connections fill this server once it has warmed up: what is stated or, where no loads are known,
     * no less than other servers hold now.
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
     * The fraction in use of the limits found here or, where there are none, of what servers of this machine kind
     * usually hold; at most 1. It is 0 where nothing is known and where {@link #utilization} of a stated upper bound
     * counts instead.
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

    // ---- what happens -----------------------------------------------------------------------------

    /** The endpoint list says this of the server. A rating that makes no sense counts as the default. */
    public void onEndpointListed(int listedKind, double listedRating) {
        machineKind = listedKind;
        rating = listedRating > 0 && listedRating < MAX_RATING ? listedRating : DEFAULT_RATING;
        stated = model.stated(listedKind);
        if (!stated.upperBound()) {
            connectionLimit.startAt(Math.ceil(stated.connectionsPerRating() * rating / model.relayCount()));
            loadLimit.startAt(stated.workPerRating() * rating / model.relayCount());
        }
    }

    /** A new process runs on the same machine: it is limited by nothing that the old one did. */
    public void onRestart() {
        connectionLimit.reset();
        loadLimit.reset();
        onEndpointListed(machineKind, rating);
    }

    /** An attempt to set up one more connection was sent. */
    public void onAttemptStarted() {
        connectionLimit.onSent(connectionsAndAttempts(), 1);
        if (loadLimit.isLimited()) {
            loadLimit.onSent(loadWithAttempts(), model.meanLoad());
        }
        attemptsInFlight++;
    }

    /** An attempt in flight has ended, with whatever outcome. */
    public void onAttemptEnded() {
        attemptsInFlight = Math.max(0, attemptsInFlight - 1);
    }

    /** The outcome of an attempt is no evidence on the server. */
    public void onInconclusiveAttempt() {
        connectionLimit.onInconclusive();
        loadLimit.onInconclusive();
    }

    /**
     * A connection is established.
     *
     * @param load as reported; 0 where it reported none
     * @param uniformDraw from [0, 1), decides when the next trial is due
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

    /** An established connection reported a load; each of the two is 0 where there is none. */
    public void onLoadChanged(double before, double after) {
        removeConnectionLoad(before);
        addConnectionLoad(after);
    }

    /**
     * An established connection has ended.
     *
     * @param load as last reported; 0 where it reported none
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

    /** The server rejected a connection. */
    public void onRejected(long nowMicros, double uniformDraw) {
        connectionLimit.onFailure(establishedConnections, nowMicros, uniformDraw);
        model.onConnectionLimit(machineKind, rating, connectionLimit);
    }

    /** The server dropped an established connection; called after {@link #onClosed} for it. */
    public void onConnectionDropped(long nowMicros, double uniformDraw) {
        connectionLimit.onFailure(establishedConnections, nowMicros, uniformDraw);
        if (model.loadsReported()) {
            loadLimit.onFailure(establishedLoad(), nowMicros, uniformDraw);
        }
        model.onConnectionLimit(machineKind, rating, connectionLimit);
    }

    /** The load that a report counts for: at most the largest plausible one, and 0 where it makes no sense. */
    public static double sanitizeLoad(double reported) {
        return reported > 0 ? Math.min(reported, MAX_LOAD) : 0;
    }
}
