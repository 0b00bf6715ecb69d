package sandstack.configuration;

/** The effects of a publisher: its messages and log lines. No call may block or call back. */
public interface PublisherOutput {
    /**
     * Sends a message to a peer; false where the transport takes nothing more for it now, and then nothing was sent.
     */
    boolean send(String peer, ConfigurationMessage.PublisherMessage message);

    /** Closes the connection with a peer after what was sent. */
    void close(String peer);

    /** Writes one line to the log. */
    void log(String text);
}
