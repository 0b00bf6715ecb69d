package sandstack.decisions;

import sandstack.capacity.RejectionReason;

/** What the module decides; the balancer carries actions out in order, at once. */
public sealed interface BalancerAction {
    /** Calls the handler's method for this kind of action. */
    <E extends Exception> void dispatch(Handler<E> handler) throws E;

    /**
     * Carries actions out: one method for each kind.
     *
     * @param <E> what carrying out may throw; {@link RuntimeException} where nothing has to be caught
     */
    interface Handler<E extends Exception> {
        /** Starts an attempt. */
        void startAttempt(StartAttempt action) throws E;

        /** Refuses a request for good. */
        void reject(Reject action) throws E;

        /** Answers a request as failed. */
        void fail(Fail action) throws E;

        /** Moves a standing connection. */
        void migrate(Migrate action) throws E;

        /** Sets a timer. */
        void setTimer(SetTimer action) throws E;

        /** Asks for changes of the server list. */
        void watchEndpointList(WatchEndpointList action) throws E;
    }

    /** Try this server. A time-out of 0 lasts until the client stops waiting. */
    record StartAttempt(String requestId, String serverId, long timeoutMicros) implements BalancerAction {
        @Override
        public <E extends Exception> void dispatch(Handler<E> handler) throws E {
            handler.startAttempt(this);
        }
    }

    /** Final answer: refused for this cause; trying again does no harm. retryAfter 0 gives no advice. */
    record Reject(String requestId, long retryAfterMicros, RejectionReason reason) implements BalancerAction {
        @Override
        public <E extends Exception> void dispatch(Handler<E> handler) throws E {
            handler.reject(this);
        }
    }

    /** Final answer: failed; no claim about effects. */
    record Fail(String requestId) implements BalancerAction {
        @Override
        public <E extends Exception> void dispatch(Handler<E> handler) throws E {
            handler.fail(this);
        }
    }

    /** End this standing connection politely; its client comes again as a new request. */
    record Migrate(String requestId) implements BalancerAction {
        @Override
        public <E extends Exception> void dispatch(Handler<E> handler) throws E {
            handler.migrate(this);
        }
    }

    /** Send {@link TimerExpired} with this token so long from now. */
    record SetTimer(long delayMicros, long token) implements BalancerAction {
        @Override
        public <E extends Exception> void dispatch(Handler<E> handler) throws E {
            handler.setTimer(this);
        }
    }

    /** Ask for changes of the server list from now on; a {@link EndpointListUpdate} answers. */
    record WatchEndpointList() implements BalancerAction {
        @Override
        public <E extends Exception> void dispatch(Handler<E> handler) throws E {
            handler.watchEndpointList(this);
        }
    }
}
