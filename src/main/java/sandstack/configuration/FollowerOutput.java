package sandstack.configuration;

/**
 * The outbound port of a {@link ConfigurationFollower}: messages, activated configurations and log lines. Called on the
 * follower's thread. An implementation must neither block nor call the follower.
 */
public interface FollowerOutput {
    /**
     * Sends a message to a control machine, and connects to it first if there is no connection. Delivery is not
     * guaranteed.
     */
    void send(String machine, ConfigurationMessage.FollowerMessage message);

    /**
     * Closes the connection to a control machine after all messages that were passed to {@link #send} before are sent.
     */
    void close(String machine);

    /**
     * Called when a configuration becomes active: the stored one at the start, then each received one. A received
     * configuration was passed to the {@link ConfigurationStore} before; it becomes active even if the store failed.
     */
    void activated(ConfigurationSnapshot snapshot);

    /** Writes one line to the relay's log. */
    void log(String text);
}
