package sandstack.capacity;

/**
 * What one feed server holds from here and what it can hold, by the evidence of this relay. Two measures are bounded
 * apart: connections, since a server holds only so many, and load, where connections tell theirs. Other relays fill
 * the same server unseen, so a bound is what this relay may have there, not the server's size.
 *
 * <p>Owned by the module's record of that server; one thread; every call is O(1) and allocates nothing. Whatever is
 * told, no figure becomes negative or not a number, and a closed server is tried again within 2^8 slots.
 */
public final class CapacityEstimate {
    /** Loads are cut to this: a peer may tell anything, as often as it likes. */
    private static final double MAX_LOAD = 1e9;
    /** What messages that are late say: so much of what stands there is too much by a little. */
    private static final double SLOW_MESSAGES_FRACTION = 0.9;

    private final CapacityModel model;
    private int machineKind;
    private StatedCapacity stated;
    private double rating = 1;
    private final AdaptiveLimit adaptiveConnectionLimit;
    private final AdaptiveLimit adaptiveLoadLimit;
    private int establishedConnections;
    private int attemptsInFlight;
    /** Told loads of what stands here, and how many have told none: they count as much as others do by now. */
    private double reportedLoad;

    private int connectionsWithoutLoad;

    CapacityEstimate(CapacityModel model) {
        this.model = model;
        this.adaptiveConnectionLimit = new AdaptiveLimit(model.slotMicros());
        this.adaptiveLoadLimit = new AdaptiveLimit(model.slotMicros());
        this.stated = model.stated(0);
    }

    /** What the list says of the server. */
    public void onEndpointListed(int listedKind, double listedRating) {
        machineKind = listedKind;
        rating = listedRating > 0 && listedRating < 1e9 ? listedRating : 1;
        stated = model.stated(listedKind);
        if (!stated.upperBound()) {
            adaptiveConnectionLimit.startAt(Math.ceil(stated.connectionsPerRating() * rating / model.relayCount()));
            adaptiveLoadLimit.startAt(stated.workPerRating() * rating / model.relayCount());
        }
    }

    /** A fresh process on the same machine. */
    public void onRestart() {
        adaptiveConnectionLimit.reset();
        adaptiveLoadLimit.reset();
        onEndpointListed(machineKind, rating);
    }

    /** Connections that stand here or are being set up. */
    public int connectionsAndAttempts() {
        return establishedConnections + attemptsInFlight;
    }

    /** Connections that stand here. */
    public int establishedConnections() {
        return establishedConnections;
    }

    /** The load of what stands here, in microseconds of work a second; guessed where not told. */
    public double establishedLoad() {
        return reportedLoad + connectionsWithoutLoad * model.meanLoad();
    }

    /** The connections that fit as far as this relay knows; infinite where nothing speaks against more. */
    public double connectionLimit() {
        return adaptiveConnectionLimit.limit();
    }

    // ---- what is known ----------------------------------------------------------------------------

    /** Whether one more fits by the evidence, without a trial. */
    public boolean hasHeadroom() {
        return establishedConnections + attemptsInFlight + 1 <= adaptiveConnectionLimit.limit()
                && (!adaptiveLoadLimit.isLimited()
                        || establishedLoad() + (attemptsInFlight + 1) * model.meanLoad() <= adaptiveLoadLimit.limit());
    }

    /** Whether one more may be sent: it fits, or a trial is due. */
    public boolean admits(long nowMicros) {
        return adaptiveConnectionLimit.admits(establishedConnections + attemptsInFlight, 1, nowMicros)
                && (!adaptiveLoadLimit.isLimited()
                        || adaptiveLoadLimit.admits(
                                establishedLoad() + attemptsInFlight * model.meanLoad(), model.meanLoad(), nowMicros));
    }

    /**
     * The part of what the operator stated firmly that is used from here; 0 where nothing is.
     *
     * @param groupCount how many groups stand here
     * @param slowStartFraction the part of its capacity that the server has by now, above 0
     */
    public double utilization(int groupCount, double slowStartFraction) {
        double work = stated.upperBound() ? rating * slowStartFraction * stated.workPerRating() : 0;
        return work <= 0
                ? 0
                : (establishedLoad() + groupCount * stated.groupOverheadConnections() * model.meanLoad()) / work;
    }

    /** How many usual connections fill this server when it is warm: as stated, or no less than others hold now. */
    public double capacityInConnections() {
        double most =
                stated.workPerRating() > 0 ? stated.workPerRating() / model.meanLoad() : stated.connectionsPerRating();
        return rating * (model.loadsKnown() && most > 0 ? most : Math.max(most, model.holds()));
    }

    /** What so much more use is worth in load. */
    public double adaptiveLoadLimit(double use) {
        return use * rating * stated.workPerRating();
    }

    /**
     * The part that is used of what evidence bounds here, or at servers of this kind; 0 where none does, or where the
     * use of what is stated firmly says more.
     */
    public double occupancy() {
        if (stated.upperBound()) {
            return 0;
        }
        double most = adaptiveConnectionLimit.isLimited()
                ? adaptiveConnectionLimit.limit()
                : model.usualConnectionsPerRating(machineKind) * rating;
        double part = most <= 0 ? 1 : establishedConnections / most;
        return Math.min(
                1,
                adaptiveLoadLimit.isLimited()
                        ? Math.max(part, establishedLoad() / Math.max(adaptiveLoadLimit.limit(), 1))
                        : part);
    }

    /** How many more fit by evidence; infinite where nothing speaks against more. */
    public double freeConnections() {
        return Math.max(0, adaptiveConnectionLimit.limit() - establishedConnections - attemptsInFlight);
    }

    // ---- what happens -----------------------------------------------------------------------------

    /** An attempt to set up one more connection goes out. */
    public void onAttemptStarted() {
        adaptiveConnectionLimit.onSent(establishedConnections + attemptsInFlight, 1);
        if (adaptiveLoadLimit.isLimited()) {
            adaptiveLoadLimit.onSent(establishedLoad() + attemptsInFlight * model.meanLoad(), model.meanLoad());
        }
        attemptsInFlight++;
    }

    /** An attempt that was out has ended, in whatever way. */
    public void onAttemptEnded() {
        attemptsInFlight = Math.max(0, attemptsInFlight - 1);
    }

    /** The attempt said nothing of the server. */
    public void onInconclusiveAttempt() {
        adaptiveConnectionLimit.onInconclusive();
        adaptiveLoadLimit.onInconclusive();
    }

    /** A connection stands, with so much load, 0 where it has told none; a number in [0, 1) draws when more is tried. */
    public void onEstablished(double load, long nowMicros, double uniformDraw) {
        establishedConnections++;
        addLoad(load, 1);
        model.holds(establishedConnections, rating);
        adaptiveConnectionLimit.onEstablished(establishedConnections, 1, nowMicros, uniformDraw);
        if (adaptiveLoadLimit.isLimited()) {
            adaptiveLoadLimit.onEstablished(establishedLoad(), model.meanLoad(), nowMicros, uniformDraw);
        }
        model.onConnectionLimit(machineKind, rating, adaptiveConnectionLimit);
    }

    /** A load was told; the one before is 0 where none was. */
    public void onLoadChanged(double before, double after) {
        addLoad(before, -1);
        addLoad(after, 1);
    }

    /** A standing connection has ended; its load as last told, 0 where it told none. */
    public void onClosed(double load) {
        establishedConnections = Math.max(0, establishedConnections - 1);
        addLoad(load, -1);
        if (establishedConnections == 0) {
            reportedLoad = 0;
            connectionsWithoutLoad = 0;
        }
    }

    private void addLoad(double load, int sign) {
        if (load > 0) {
            reportedLoad = Math.max(0, reportedLoad + sign * load);
        } else {
            connectionsWithoutLoad = Math.max(0, connectionsWithoutLoad + sign);
        }
    }

    /** The server said that it takes no more. */
    public void onRejected(long nowMicros, double uniformDraw) {
        adaptiveConnectionLimit.onFailure(establishedConnections, nowMicros, uniformDraw);
        model.onConnectionLimit(machineKind, rating, adaptiveConnectionLimit);
    }

    /** The server dropped a connection that stood; told once that has {@link #onClosed}. */
    public void onConnectionDropped(long nowMicros, double uniformDraw) {
        adaptiveConnectionLimit.onFailure(establishedConnections, nowMicros, uniformDraw);
        if (model.loadsReported()) {
            adaptiveLoadLimit.onFailure(establishedLoad(), nowMicros, uniformDraw);
        }
        model.onConnectionLimit(machineKind, rating, adaptiveConnectionLimit);
    }

    /** Messages of connections here take too long. */
    public void onSlowMessages(long nowMicros, double uniformDraw) {
        if (model.loadsReported()) {
            adaptiveLoadLimit.onFailure(establishedLoad() * SLOW_MESSAGES_FRACTION, nowMicros, uniformDraw);
        } else {
            adaptiveConnectionLimit.onFailure(
                    Math.floor(establishedConnections * SLOW_MESSAGES_FRACTION), nowMicros, uniformDraw);
        }
    }

    /** What a load that was told counts for; what makes no sense counts for nothing. */
    public static double sanitizeLoad(double reported) {
        return reported > 0 ? Math.min(reported, MAX_LOAD) : 0;
    }
}
