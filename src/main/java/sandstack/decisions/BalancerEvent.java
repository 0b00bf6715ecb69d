package sandstack.decisions;

import java.util.List;

/**
 * An input of the {@link LoadBalancer}: what its host, the program that embeds it, has observed on the network, from
 * clients or in the configuration. The host assigns all identifiers. Times and durations are in microseconds.
 */
public sealed interface BalancerEvent {
    /** Calls the handler's method for this kind of event. */
    void dispatch(Handler handler);

    /** Visitor of events, with one method for each kind. */
    interface Handler {
        /** The endpoint list or a change of it has arrived, or could not be obtained. */
        void endpointListUpdate(EndpointListUpdate event);

        /** A client requests a connection. */
        void connectRequested(ConnectRequested event);

        /** A connection that was established elsewhere now passes through this relay. */
        void connectionAdopted(ConnectionAdopted event);

        /** An attempt has established its connection. */
        void connectionEstablished(ConnectionEstablished event);

        /** An established connection has reported its load. */
        void loadReported(LoadReported event);

        /** The message delay of a server has been reported. */
        void delayReported(DelayReported event);

        /** An attempt or an established connection has ended. */
        void attemptEnded(AttemptEnded event);

        /** A client has disconnected. */
        void clientDisconnected(ClientDisconnected event);

        /** A timer of the load balancer has expired. */
        void timerExpired(TimerExpired event);

        /** Another component has completed a health check. */
        void healthCheckEnded(HealthCheckEnded event);

        /** The list of tenants has changed. */
        void tenantsChanged(TenantsChanged event);

        /** The settings have changed. */
        void settingsChanged(SettingsChanged event);

        /** The number of processes of this relay has changed. */
        void processCountChanged(ProcessCountChanged event);

        /** Another relay has sent a message. */
        void peerMessage(PeerMessage event);
    }

    /**
     * The endpoint list, a change of it, or the failure to obtain it.
     *
     * @param entries the servers; empty with {@link EndpointListKind#FAILED}, after which the previous list stays in
     *     force
     */
    record EndpointListUpdate(EndpointListKind kind, List<EndpointEntry> entries) implements BalancerEvent {
        @Override
        public void dispatch(Handler handler) {
            handler.endpointListUpdate(this);
        }
    }

    /**
     * A client requests a connection. By the deadline the connection is established, or the load balancer gives exactly
     * one final answer: {@link BalancerAction.Reject} or {@link BalancerAction.Fail}. A client that has disconnected
     * gets none.
     *
     * @param requestId identifies the request until its final answer or the end of its connection
     * @param classIndex index of its class in {@link BalancerSettings#classes}
     * @param tenantIndex index of its tenant in {@link BalancerSettings#tenants}
     * @param clientKey identifies the client across its requests; null if unknown
     * @param group group whose connections share work on a server; null if it has none
     * @param deadlineMicros time at which the client stops waiting
     * @param expectedLoad expected load in microseconds of work per second on a standard core; 0 if unknown
     * @param midFlow whether packets of an established connection now arrive here while its server continues it; not
     *     used
     * @param reconnecting whether the client returns after a lost or migrated connection
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

    /**
     * An established connection, taken over from another relay or process, now passes through this relay. It counts as
     * established by attempt 0.
     */
    record ConnectionAdopted(ConnectRequested request, String serverId) implements BalancerEvent {
        @Override
        public void dispatch(Handler handler) {
            handler.connectionAdopted(this);
        }
    }

    /**
     * An attempt has established its connection; the deadline of the request no longer applies.
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
     * An established connection has reported its load.
     *
     * @param load microseconds of work per second on a standard core
     */
    record LoadReported(String requestId, int attempt, String serverId, double load) implements BalancerEvent {
        @Override
        public void dispatch(Handler handler) {
            handler.loadReported(this);
        }
    }

    /**
     * An established connection has reported the current message delay of its server.
     *
     * @param delayMicros time from the arrival of a message at the server to its processing
     */
    record DelayReported(String requestId, int attempt, String serverId, double delayMicros) implements BalancerEvent {
        @Override
        public void dispatch(Handler handler) {
            handler.delayReported(this);
        }
    }

    /**
     * An attempt, or the connection that it established, has ended. The host sends exactly one such event for each
     * attempt.
     *
     * @param attempt number of the attempt within its request, from 0
     * @param requestFinished whether the client already has its final answer; if not, the load balancer retries the
     *     request or gives the answer
     * @param elapsedMicros time since the start of the attempt
     * @param loadReport load report, with the columns in the order of the site's configuration; null if there is none;
     *     not used
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

    /** The client has disconnected and needs no answer. */
    record ClientDisconnected(String requestId) implements BalancerEvent {
        @Override
        public void dispatch(Handler handler) {
            handler.clientDisconnected(this);
        }
    }

    /** A timer set by {@link BalancerAction.SetTimer} has expired. */
    record TimerExpired(long token) implements BalancerEvent {
        @Override
        public void dispatch(Handler handler) {
            handler.timerExpired(this);
        }
    }

    /**
     * Another component has completed a health check; the load balancer itself makes no health checks. Not used.
     *
     * @param elapsedMicros duration of the health check
     * @param loadReport as in {@link AttemptEnded}; null if there is none
     */
    record HealthCheckEnded(String serverId, AttemptOutcome outcome, long elapsedMicros, double[] loadReport)
            implements BalancerEvent {
        @Override
        public void dispatch(Handler handler) {
            handler.healthCheckEnded(this);
        }
    }

    /** The list of tenants has changed. Known tenants keep their indexes, and new ones are appended. */
    record TenantsChanged(List<Tenant> tenants) implements BalancerEvent {
        @Override
        public void dispatch(Handler handler) {
            handler.tenantsChanged(this);
        }
    }

    /**
     * The settings of this relay have changed. Known classes keep their indexes, and new ones are appended. Pending
     * requests keep their class, and the lower of {@link BalancerSettings#maxAttempts} at their arrival and now applies
     * to them.
     */
    record SettingsChanged(BalancerSettings settings) implements BalancerEvent {
        @Override
        public void dispatch(Handler handler) {
            handler.settingsChanged(this);
        }
    }

    /**
     * The number of processes of this relay has changed.
     *
     * @param count usually 1; 2 while one process hands over to another
     */
    record ProcessCountChanged(int count) implements BalancerEvent {
        @Override
        public void dispatch(Handler handler) {
            handler.processCountChanged(this);
        }
    }

    /**
     * Another relay has sent a message. Not used.
     *
     * @param from index of that relay
     */
    record PeerMessage(int from, String text) implements BalancerEvent {
        @Override
        public void dispatch(Handler handler) {
            handler.peerMessage(this);
        }
    }
}
