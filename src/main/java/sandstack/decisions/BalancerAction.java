package sandstack.decisions;

import sandstack.capacity.RejectionReason;

/**
 * A decision of the {@link LoadBalancer}. The host carries out the actions of an event immediately and in order. Times
 * are in microseconds.
 */
public sealed interface BalancerAction {
    /** Calls the handler's method for this kind of action. */
    <E extends Exception> void dispatch(Handler<E> handler) throws E;

    /**
     * Visitor of actions, with one method for each kind.
     *
     * @param <E> exception that the methods may throw; {@link RuntimeException} if there is no checked one
     */
    interface Handler<E extends Exception> {
        /** Starts an attempt, whose end the host reports as {@link BalancerEvent.AttemptEnded}. */
        void startAttempt(StartAttempt action) throws E;

        /** Sends the client its final answer: rejected. */
        void reject(Reject action) throws E;

        /** Sends the client its final answer: failed. */
        void fail(Fail action) throws E;

        /** Closes an established connection so that its client reconnects. */
        void migrate(Migrate action) throws E;

        /** Starts a timer. */
        void setTimer(SetTimer action) throws E;

        /** Requests the endpoint list and its changes. */
        void watchEndpointList(WatchEndpointList action) throws E;
    }

    /**
     * Start an attempt to establish the connection of a request at a server.
     *
     * @param timeoutMicros time after which the attempt ends as {@link AttemptOutcome#TIMEOUT}; 0 for the deadline of
     *     the request
     */
    record StartAttempt(String requestId, String serverId, long timeoutMicros) implements BalancerAction {
        @Override
        public <E extends Exception> void dispatch(Handler<E> handler) throws E {
            handler.startAttempt(this);
        }
    }

    /**
     * Final answer: rejected. The client may safely retry.
     *
     * @param retryAfterMicros Retry-After, the time that the client should wait before it retries; 0 for none
     */
    record Reject(String requestId, long retryAfterMicros, RejectionReason reason) implements BalancerAction {
        @Override
        public <E extends Exception> void dispatch(Handler<E> handler) throws E {
            handler.reject(this);
        }
    }

    /** Final answer: failed. The request may have been executed. */
    record Fail(String requestId) implements BalancerAction {
        @Override
        public <E extends Exception> void dispatch(Handler<E> handler) throws E {
            handler.fail(this);
        }
    }

    /** Close this established connection gracefully; its client reconnects with a new request. */
    record Migrate(String requestId) implements BalancerAction {
        @Override
        public <E extends Exception> void dispatch(Handler<E> handler) throws E {
            handler.migrate(this);
        }
    }

    /**
     * Send {@link BalancerEvent.TimerExpired} with this token after the delay.
     *
     * @param delayMicros counted from the time of the event; above 0
     */
    record SetTimer(long delayMicros, long token) implements BalancerAction {
        @Override
        public <E extends Exception> void dispatch(Handler<E> handler) throws E {
            handler.setTimer(this);
        }
    }

    /**
     * Request the endpoint list and its changes from now on; each arrives as {@link BalancerEvent.EndpointListUpdate}.
     */
    record WatchEndpointList() implements BalancerAction {
        @Override
        public <E extends Exception> void dispatch(Handler<E> handler) throws E {
            handler.watchEndpointList(this);
        }
    }
}
