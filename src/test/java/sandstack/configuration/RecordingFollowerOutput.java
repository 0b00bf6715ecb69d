package sandstack.configuration;

import java.util.ArrayList;
import java.util.List;

/** Records the messages, closed connections, activated configurations and log lines of a follower. */
final class RecordingFollowerOutput implements FollowerOutput {
    /** A message with the control machine that it was sent to. */
    record Sent(String machine, ConfigurationMessage.FollowerMessage message) {}

    final List<Sent> sent = new ArrayList<>();
    final List<String> closed = new ArrayList<>();
    final List<ConfigurationSnapshot> activated = new ArrayList<>();
    final List<String> logLines = new ArrayList<>();

    @Override
    public void send(String machine, ConfigurationMessage.FollowerMessage message) {
        sent.add(new Sent(machine, message));
    }

    @Override
    public void close(String machine) {
        closed.add(machine);
    }

    @Override
    public void activated(ConfigurationSnapshot snapshot) {
        activated.add(snapshot);
    }

    @Override
    public void log(String text) {
        logLines.add(text);
    }

    <T> List<T> messages(Class<T> kind) {
        return sent.stream()
                .map(Sent::message)
                .filter(kind::isInstance)
                .map(kind::cast)
                .toList();
    }

    Sent lastSent() {
        return sent.get(sent.size() - 1);
    }
}
