package sandstack.configuration;

/**
 * The outbound port of a {@link ConfigurationPublisher}: messages and log lines. Called on the publisher's thread. An
 * implementation must neither block nor call the publisher.
 */
public interface PublisherOutput {
    /**
     * Sends a message to a peer.
     *
     * @return false if the message was not sent because the transport accepts no more data for the peer now
     */
    boolean send(String peer, ConfigurationMessage.PublisherMessage message);

    /** Closes the connection to a peer after all messages that were passed to {@link #send} before are sent. */
    void close(String peer);

    /** Writes one line to the control machine's log. */
    void log(String text);
}
