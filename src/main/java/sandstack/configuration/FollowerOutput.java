package sandstack.configuration;

/** Where a follower's messages, states and lines go. None of these calls may wait or call back. */
public interface FollowerOutput {
    /** Sends to a control machine, connecting first where there is no connection. */
    void send(String machine, ConfigurationMessage.FollowerMessage message);

    /** Hangs up on a control machine, after what was sent. */
    void close(String machine);

    /** This state is in force from now on; it is stored already. */
    void activated(ConfigurationSnapshot snapshot);

    /** One line for the log. */
    void log(String text);
}
