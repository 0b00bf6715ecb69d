package sandstack.configuration;

import java.util.ArrayList;
import java.util.List;

/** Records the messages, closed connections and log lines of a publisher. */
final class RecordingPublisherOutput implements PublisherOutput {
    /** A message with the peer that it was sent to. */
    record Sent(String peer, ConfigurationMessage.PublisherMessage message) {}

    final List<Sent> sent = new ArrayList<>();
    final List<String> closed = new ArrayList<>();
    final List<String> logLines = new ArrayList<>();
    /** Whether the transport accepts no message, so that {@link #send} returns false. */
    boolean full;

    @Override
    public boolean send(String peer, ConfigurationMessage.PublisherMessage message) {
        if (!full) {
            sent.add(new Sent(peer, message));
        }
        return !full;
    }

    @Override
    public void close(String peer) {
        closed.add(peer);
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
}
