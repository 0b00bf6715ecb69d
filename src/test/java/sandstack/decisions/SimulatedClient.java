package sandstack.decisions;

/** A client of a {@link SimulatedFleet}, which reconnects whenever it has no connection. */
final class SimulatedClient {
    /** Load of a connection by class, in units of work per second. */
    private static final double[] LOAD_BY_CLASS = {0.57, 0.2, 3.4};
    /** Priority weight by class. */
    static final double[] WEIGHT_BY_CLASS = {5, 1, 5};
    /** Reported load, in microseconds of work per second, of one unit of work per second. */
    private static final double MICROS_PER_UNIT = 66_000;

    final String key;
    final String group;
    final int zone;
    final int classIndex;
    boolean returning;
    /** Id of its latest request. */
    String requestId;
    /** Relay of that request; null while the client is disconnected. */
    SimulatedRelay relay;
    /** Server of its established connection; null if there is none. */
    SimulatedServer server;

    /**
     * Creates a disconnected client.
     *
     * @param uniformDraw from [0, 1), determines its class
     */
    SimulatedClient(String key, String group, int zone, double uniformDraw) {
        this.key = key;
        this.group = group;
        this.zone = zone;
        this.classIndex = uniformDraw < 0.5 ? 0 : uniformDraw < 0.81 ? 1 : 2;
    }

    /** Load of its connection in units of work per second. */
    double load() {
        return LOAD_BY_CLASS[classIndex];
    }

    /** Load of its connection as it is reported, in microseconds of work per second. */
    double reportedLoad() {
        return load() * MICROS_PER_UNIT;
    }

    double weight() {
        return WEIGHT_BY_CLASS[classIndex];
    }

    BalancerEvent.ConnectRequested connectRequest(long nowMicros) {
        return new BalancerEvent.ConnectRequested(
                requestId,
                classIndex,
                0,
                key,
                group,
                nowMicros + (classIndex == 2 ? 1_700_000 : 2_900_000),
                reportedLoad(),
                false,
                returning);
    }
}
