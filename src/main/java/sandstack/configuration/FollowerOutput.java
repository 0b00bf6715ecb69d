package sandstack.configuration;

/** The effects of a follower: its messages, activated states and log lines. No call may block or call back. */
public interface FollowerOutput {
    /** Sends a message to a control machine, connecting first where there is no connection. */
    void send(String machine, ConfigurationMessage.FollowerMessage message);

    /** Closes the connection with a control machine after what was sent. */
    void close(String machine);

    /** This state is active from now on; the store was called before, and may have failed. */
    void activated(ConfigurationSnapshot snapshot);

    /** Writes one line to the log. */
    void log(String text);
}
