package sandstack.decisions;

import sandstack.capacity.RejectionReason;

/**
 * A decision of the {@link LoadBalancer}. Its host carries the actions of an event out at once and in order; times are
 * microseconds.
 */
public sealed interface BalancerAction {
    /** Calls the handler's method for this kind of action. */
    <E extends Exception> void dispatch(Handler<E> handler) throws E;

    /**
     * Carries actions out: one method for each kind.
     *
     * @param <E> exception that carrying out may throw; {@link RuntimeException} where there is no checked one
     */
    interface Handler<E extends Exception> {
        /** Starts an attempt at a server. */
        void startAttempt(StartAttempt action) throws E;

        /** Rejects a request. */
        void reject(Reject action) throws E;

        /** Fails a request. */
        void fail(Fail action) throws E;

        /** Migrates an established connection. */
        void migrate(Migrate action) throws E;

        /** Sets a timer. */
        void setTimer(SetTimer action) throws E;

        /** Watches the endpoint list. */
        void watchEndpointList(WatchEndpointList action) throws E;
    }

    /**
     * Attempt to establish the request's connection at this server.
     *
     * @param timeoutMicros time after which the attempt ends as {@link AttemptOutcome#TIMEOUT}; 0 for the request's
     *     deadline
     */
    record StartAttempt(String requestId, String serverId, long timeoutMicros) implements BalancerAction {
        @Override
        public <E extends Exception> void dispatch(Handler<E> handler) throws E {
            handler.startAttempt(this);
        }
    }

    /**
     * Final answer: rejected. A retry by the client is harmless.
     *
     * @param retryAfterMicros how long the client should wait before it retries; 0 for no advice
     */
    record Reject(String requestId, long retryAfterMicros, RejectionReason reason) implements BalancerAction {
        @Override
        public <E extends Exception> void dispatch(Handler<E> handler) throws E {
            handler.reject(this);
        }
    }

    /** Final answer: failed. The request may have taken effect. */
    record Fail(String requestId) implements BalancerAction {
        @Override
        public <E extends Exception> void dispatch(Handler<E> handler) throws E {
            handler.fail(this);
        }
    }

    /** Close this established connection gracefully; its client reconnects, as a new request. */
    record Migrate(String requestId) implements BalancerAction {
        @Override
        public <E extends Exception> void dispatch(Handler<E> handler) throws E {
            handler.migrate(this);
        }
    }

    /**
     * Send {@link BalancerEvent.TimerExpired} with this token after the delay.
     *
     * @param delayMicros from the time of the event; above 0
     */
    record SetTimer(long delayMicros, long token) implements BalancerAction {
        @Override
        public <E extends Exception> void dispatch(Handler<E> handler) throws E {
            handler.setTimer(this);
        }
    }

    /** Request the endpoint list and its changes from now on; a {@link BalancerEvent.EndpointListUpdate} answers. */
    record WatchEndpointList() implements BalancerAction {
        @Override
        public <E extends Exception> void dispatch(Handler<E> handler) throws E {
            handler.watchEndpointList(this);
        }
    }
}
