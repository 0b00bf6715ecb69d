package sandstack.configuration;

/** Where a follower's messages, states and lines go. None of these calls may wait or call back. */
public interface FollowerOutput {
    /** Sends to a control machine, connecting first where there is no connection. */
    void send(String machine, ConfigurationMessage.FromFollower message);

    /** Hangs up on a control machine, after what was sent. */
    void close(String machine);

    /** This state is in force from now on; it is stored already. */
    void inForce(ConfigurationSnapshot snapshot);

    /** One line for the log. */
    void line(String text);
}
