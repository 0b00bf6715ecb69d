package sandstack.decisions;

import java.util.List;

/**
 * An input of the {@link LoadBalancer}: what its host has observed on the network, from clients or in its
 * configuration. Identifiers are those of the host; times and durations are microseconds.
 */
public sealed interface BalancerEvent {
    /** Calls the handler's method for this kind of event. */
    void dispatch(Handler handler);

    /** Takes events: one method for each kind. */
    interface Handler {
        /** Takes an update of the endpoint list. */
        void endpointListUpdate(EndpointListUpdate event);

        /** Takes a client's request for a connection. */
        void connectRequested(ConnectRequested event);

        /** Takes over an established connection. */
        void connectionAdopted(ConnectionAdopted event);

        /** Takes the success of an attempt. */
        void connectionEstablished(ConnectionEstablished event);

        /** Takes the load of an established connection. */
        void loadReported(LoadReported event);

        /** Takes the message delay of a server. */
        void delayReported(DelayReported event);

        /** Takes the end of an attempt or of an established connection. */
        void attemptEnded(AttemptEnded event);

        /** Takes the departure of a client. */
        void clientDisconnected(ClientDisconnected event);

        /** Takes the expiry of a timer. */
        void timerExpired(TimerExpired event);

        /** Takes the result of a health check. */
        void healthCheckEnded(HealthCheckEnded event);

        /** Takes the new list of tenants. */
        void tenantsChanged(TenantsChanged event);

        /** Takes new settings. */
        void settingsChanged(SettingsChanged event);

        /** Takes the new number of processes of this instance. */
        void processCountChanged(ProcessCountChanged event);

        /** Takes a message of another instance. */
        void peerMessage(PeerMessage event);
    }

    /**
     * An update of the endpoint list.
     *
     * @param entries the endpoints; empty with {@link EndpointListKind#FAILED}, where the previous list stays in force
     */
    record EndpointListUpdate(EndpointListKind kind, List<EndpointEntry> entries) implements BalancerEvent {
        @Override
        public void dispatch(Handler handler) {
            handler.endpointListUpdate(this);
        }
    }

    /**
     * A client requests a connection; the instance owes exactly one final answer by the deadline.
     *
     * @param requestId identifies the request until its final answer or the end of its connection
     * @param classIndex position of its class in {@link BalancerSettings#classes}
     * @param tenantIndex position of its tenant in {@link BalancerSettings#tenants}
     * @param clientKey identifies the client over all of its requests; null where unknown
     * @param group connections of one group share work on a server; null where it has no group
     * @param deadlineMicros point in time when the client stops waiting
     * @param expectedLoad expected load in microseconds of work a second on a standard core; 0 where unknown
     * @param midFlow packets of an established connection now arrive here, and its server continues it; not used
     * @param reconnecting the client returns after a lost or migrated connection
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
            implements BalancerEvent {
        @Override
        public void dispatch(Handler handler) {
            handler.connectRequested(this);
        }
    }

    /** An established connection now passes through this instance; attempt 0 counts as made. */
    record ConnectionAdopted(ConnectRequested request, String serverId) implements BalancerEvent {
        @Override
        public void dispatch(Handler handler) {
            handler.connectionAdopted(this);
        }
    }

    /**
     * The connection is established; it has no deadline any more.
     *
     * @param attempt number of the attempt within its request, from 0
     * @param setupMicros duration of the attempt
     */
    record ConnectionEstablished(String requestId, int attempt, String serverId, long setupMicros)
            implements BalancerEvent {
        @Override
        public void dispatch(Handler handler) {
            handler.connectionEstablished(this);
        }
    }

    /**
     * The load of an established connection has changed.
     *
     * @param load microseconds of work a second on a standard core
     */
    record LoadReported(String requestId, int attempt, String serverId, double load) implements BalancerEvent {
        @Override
        public void dispatch(Handler handler) {
            handler.loadReported(this);
        }
    }

    /**
     * The current delay of messages at a server.
     *
     * @param delayMicros from the arrival of a message at the server to its processing
     */
    record DelayReported(String requestId, int attempt, String serverId, double delayMicros) implements BalancerEvent {
        @Override
        public void dispatch(Handler handler) {
            handler.delayReported(this);
        }
    }

    /**
     * An attempt or an established connection ended; exactly one such event follows each attempt.
     *
     * @param attempt number of the attempt within its request, from 0
     * @param requestFinished the client has its final answer already; otherwise the load balancer still owes it
     * @param elapsedMicros time since the start of the attempt
     * @param loadReport load report, in the order of the columns of the site's configuration; null where none came; not
     *     used
     */
    record AttemptEnded(
            String requestId,
            int attempt,
            String serverId,
            AttemptOutcome outcome,
            boolean requestFinished,
            long elapsedMicros,
            double[] loadReport)
            implements BalancerEvent {
        @Override
        public void dispatch(Handler handler) {
            handler.attemptEnded(this);
        }
    }

    /** The client disconnected; no answer is owed any more. */
    record ClientDisconnected(String requestId) implements BalancerEvent {
        @Override
        public void dispatch(Handler handler) {
            handler.clientDisconnected(this);
        }
    }

    /** A timer set by {@link SetTimer} expired. */
    record TimerExpired(long token) implements BalancerEvent {
        @Override
        public void dispatch(Handler handler) {
            handler.timerExpired(this);
        }
    }

    /**
     * The result of a health check that another component sent; the load balancer sends none.
     *
     * @param elapsedMicros duration of the health check
     * @param loadReport as in {@link AttemptEnded}; null where none came
     */
    record HealthCheckEnded(String serverId, AttemptOutcome outcome, long elapsedMicros, double[] loadReport)
            implements BalancerEvent {
        @Override
        public void dispatch(Handler handler) {
            handler.healthCheckEnded(this);
        }
    }

    /** The list of tenants has changed; known tenants keep their positions, new ones are appended. */
    record TenantsChanged(List<Tenant> tenants) implements BalancerEvent {
        @Override
        public void dispatch(Handler handler) {
            handler.tenantsChanged(this);
        }
    }

    /**
     * New settings of the same instance. Known classes keep their positions, new ones are appended. Pending requests
     * keep their class and the lower of the two attempt limits.
     */
    record SettingsChanged(BalancerSettings settings) implements BalancerEvent {
        @Override
        public void dispatch(Handler handler) {
            handler.settingsChanged(this);
        }
    }

    /**
     * The number of processes that share this instance's role has changed.
     *
     * @param count usually 1; 2 while one process hands over to another
     */
    record ProcessCountChanged(int count) implements BalancerEvent {
        @Override
        public void dispatch(Handler handler) {
            handler.processCountChanged(this);
        }
    }

    /** A message of another instance, by its index. */
    record PeerMessage(int from, String text) implements BalancerEvent {
        @Override
        public void dispatch(Handler handler) {
            handler.peerMessage(this);
        }
    }
}
