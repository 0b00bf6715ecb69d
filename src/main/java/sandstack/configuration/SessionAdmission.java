package sandstack.configuration;

import java.util.Optional;
import sandstack.configuration.ConfigurationMessage.SessionRejectionReason;

/**
 * Admission control of a publisher: limits the rate of hellos, the message rate of each relay and the number of
 * sessions. Not thread-safe; each decision costs O(1). Times are in microseconds of the publisher's clock.
 */
final class SessionAdmission {
    /**
     * The reason for which a hello or message is rejected.
     *
     * @param reason the reason that is sent to the relay
     * @param detail one line for the log
     */
    record Rejection(SessionRejectionReason reason, String detail) {}

    private final PublisherSettings settings;
    private final TokenBucket helloRate;

    SessionAdmission(PublisherSettings settings, long nowMicros) {
        this.settings = settings;
        this.helloRate = new TokenBucket(settings.hellosPerSecond(), settings.hellosPerSecond(), nowMicros);
    }

    /**
     * Creates the message rate limit of a peer without a session; a session that replaces an open one takes it over.
     */
    TokenBucket newMessageRate(long nowMicros) {
        return new TokenBucket(settings.messagesPerSecond(), settings.messageBurst(), nowMicros);
    }

    /**
     * Decides on a hello. It is charged to the peer's message rate first, so that one peer cannot exhaust the hello
     * rate of all peers.
     *
     * @param messageRate the message rate limit of the peer
     * @param sessionCount the number of open sessions, without one of this peer
     * @return why the hello is rejected; empty if it is admitted
     */
    Optional<Rejection> checkHello(TokenBucket messageRate, int sessionCount, long nowMicros) {
        if (!messageRate.tryTake(1, nowMicros)) {
            return Optional.of(new Rejection(SessionRejectionReason.FLOOD, "too many hellos from one peer"));
        }
        if (!helloRate.tryTake(1, nowMicros)) {
            return Optional.of(new Rejection(SessionRejectionReason.BUSY, "too many hellos from all peers together"));
        }
        if (sessionCount >= settings.maxSessions()) {
            return Optional.of(new Rejection(
                    SessionRejectionReason.FULL, sessionCount + " sessions are open, which is the maximum"));
        }
        return Optional.empty();
    }

    /**
     * Decides on a message of an open session.
     *
     * @return why the message is rejected; empty if it is admitted
     */
    Optional<Rejection> checkMessage(RelaySession session, long nowMicros) {
        if (session.messageRate().tryTake(1, nowMicros)) {
            return Optional.empty();
        }
        return Optional.of(
                new Rejection(SessionRejectionReason.FLOOD, session.relayName() + " sends too many messages"));
    }

    /** Whether a message of an unknown session may be answered; the answer is charged to the rate of hellos. */
    boolean tryAnswerUnknownSession(long nowMicros) {
        return helloRate.tryTake(1, nowMicros);
    }
}
