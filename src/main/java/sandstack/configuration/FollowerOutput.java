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

    /** Closes the connection to a control machine after the messages sent before. */
    void close(String machine);

    /** Called when a configuration becomes active. The store was called before, and may have failed. */
    void activated(ConfigurationSnapshot snapshot);

    /** Writes one line to the relay's log. */
    void log(String text);
}
