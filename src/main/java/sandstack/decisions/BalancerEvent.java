package sandstack.decisions;

import java.util.List;

/** What the balancer tells the module. */
public sealed interface BalancerEvent {
    /** News of the server list. With FAILED there are no entries and the old list stays. */
    record EndpointListUpdate(EndpointListKind kind, List<EndpointEntry> entries) implements BalancerEvent {}

    /**
     * A client wants a connection; the instance owes exactly one final answer by the deadline.
     *
     * @param clientKey the same whenever this client comes; null where unknown
     * @param group connections of one group share work; null where there are none
     * @param deadlineMicros point in time when the client stops waiting for this try
     * @param expectedLoad expected work a second, in microseconds on a standard core; 0 where unknown
     * @param midFlow an open connection's packets now arrive here: the server that has it continues it
     * @param reconnecting the client came back after a break or a move
     */
    record ConnectRequested(
            String requestId,
            int classIndex,
            int tenantIndex,
            String clientKey,
            String group,
            long deadlineMicros,
            double expectedLoad,
            boolean midFlow,
            boolean reconnecting)
            implements BalancerEvent {}

    /** A connection that already stands goes through this instance; attempt 0 counts as made. */
    record ConnectionAdopted(ConnectRequested request, String serverId) implements BalancerEvent {}

    /** The connection stands; from now it has no deadline. */
    record ConnectionEstablished(String requestId, int attempt, String serverId, long setupMicros)
            implements BalancerEvent {}

    /** A standing connection's load has changed, to so many microseconds of work a second. */
    record LoadReported(String requestId, int attempt, String serverId, double load) implements BalancerEvent {}

    /** A message at this server takes so many microseconds now. */
    record DelayReported(String requestId, int attempt, String serverId, double delayMicros) implements BalancerEvent {}

    /**
     * An attempt or a standing connection ended; each attempt gets exactly one.
     *
     * @param requestFinished nothing more is owed for the request; otherwise the final answer still is
     * @param loadReport load report in the order of the site's columns; null where none came
     */
    record AttemptEnded(
            String requestId,
            int attempt,
            String serverId,
            AttemptOutcome outcome,
            boolean requestFinished,
            long elapsedMicros,
            double[] loadReport)
            implements BalancerEvent {}

    /** The client left; nothing more is owed. */
    record ClientDisconnected(String requestId) implements BalancerEvent {}

    /** A timer set by {@link SetTimer} came due. */
    record TimerExpired(long token) implements BalancerEvent {}

    /** The result of a probe that somebody else sent; the module sends none. The report is null where none came. */
    record HealthCheckEnded(String serverId, AttemptOutcome outcome, long elapsedMicros, double[] loadReport)
            implements BalancerEvent {}

    /** The tenants have changed; each keeps its position, and new ones stand behind the others. */
    record TenantsChanged(List<Tenant> tenants) implements BalancerEvent {}

    /**
     * Other settings count from now on, for the same instance. Classes keep their positions, new ones stand behind;
     * requests under way keep their class and have the lower number of attempts.
     */
    record SettingsChanged(BalancerSettings settings) implements BalancerEvent {}

    /** So many processes are this instance together, while one takes over from another; usually 1. */
    record ProcessCountChanged(int count) implements BalancerEvent {}

    /** Another instance sent this text. */
    record PeerMessage(int from, String text) implements BalancerEvent {}
}
