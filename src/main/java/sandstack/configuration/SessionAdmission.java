package sandstack.configuration;

import java.util.Optional;
import sandstack.configuration.ConfigurationMessage.SessionRejectionReason;

/**
 * Decides which hellos and messages of relays a publisher admits, by rates and by the number of sessions. One thread;
 * each decision costs O(1).
 */
final class SessionAdmission {
    /**
     * Why a relay is rejected.
     *
     * @param detail for the log, one line
     */
    record Rejection(SessionRejectionReason reason, String detail) {}

    private final PublisherSettings settings;
    private final TokenBucket helloRate;

    SessionAdmission(PublisherSettings settings, long nowMicros) {
        this.settings = settings;
        this.helloRate = new TokenBucket(settings.hellosPerSecond(), settings.hellosPerSecond(), nowMicros);
    }

    /** The messages that a peer without a session may send; a new session of the same peer goes on with them. */
    TokenBucket newMessageRate(long nowMicros) {
        return new TokenBucket(settings.messagesPerSecond(), settings.messageBurst(), nowMicros);
    }

    /**
     * Decides on a hello. The peer's own rate is charged first, so that one peer cannot use up the rate of all.
     *
     * @param sessionCount relays that are served now
     * @return why the hello is rejected; empty where it is admitted
     */
    Optional<Rejection> checkHello(TokenBucket messageRate, int sessionCount, long nowMicros) {
        if (!messageRate.tryTake(1, nowMicros)) {
            return Optional.of(new Rejection(SessionRejectionReason.FLOOD, "too many hellos of one peer"));
        }
        if (!helloRate.tryTake(1, nowMicros)) {
            return Optional.of(new Rejection(SessionRejectionReason.BUSY, "too many hellos of all peers"));
        }
        if (sessionCount >= settings.maxSessions()) {
            return Optional.of(
                    new Rejection(SessionRejectionReason.FULL, sessionCount + " sessions are open, the maximum"));
        }
        return Optional.empty();
    }

    /** Decides on a message within a session; why it ends the session, empty where it is admitted. */
    Optional<Rejection> checkMessage(RelaySession session, long nowMicros) {
        if (session.messageRate().tryTake(1, nowMicros)) {
            return Optional.empty();
        }
        return Optional.of(
                new Rejection(SessionRejectionReason.FLOOD, session.relayName() + " sends too many messages"));
    }

    /** Whether a message of an unknown session is answered; it is charged to the rate of hellos. */
    boolean mayAnswerUnknownSession(long nowMicros) {
        return helloRate.tryTake(1, nowMicros);
    }
}
