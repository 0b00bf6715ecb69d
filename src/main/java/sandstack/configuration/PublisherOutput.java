package sandstack.configuration;

/** Where a publisher's messages and lines go. None of these calls may wait or call back. */
public interface PublisherOutput {
    /** Sends to a peer; false where the transport takes nothing more for it now, and then nothing of it was sent. */
    boolean send(String peer, ConfigurationMessage.PublisherMessage message);

    /** Hangs up on a peer, after what was sent. */
    void close(String peer);

    /** One line for the log. */
    void log(String text);
}
