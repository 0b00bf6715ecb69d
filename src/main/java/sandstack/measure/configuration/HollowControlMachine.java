package sandstack.measure.configuration;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sandstack.configuration.ConfigurationMessage;
import sandstack.configuration.ConfigurationPublisher;
import sandstack.configuration.MalformedConfigurationException;
import sandstack.configuration.PublisherOutput;

/** A hollow control machine: a real publisher on a simulated network and a modelled consensus. Not thread-safe. */
public final class HollowControlMachine extends HollowProcess implements PublisherOutput {
    private final HollowConfigurationFleet fleet;
    private final Map<String, HollowConnection> connections = new LinkedHashMap<>();
    private ConfigurationPublisher publisher;
    private long helloCount;
    private int maxSessions;
    private long logLines;

    HollowControlMachine(HollowConfigurationFleet fleet, String name, String region) {
        super(name, region);
        this.fleet = fleet;
    }

    /** The publisher; null while the process is not running. */
    public ConfigurationPublisher publisher() {
        return publisher;
    }

    /** Number of received {@link ConfigurationMessage.Hello} messages. */
    public long helloCount() {
        return helloCount;
    }

    /** The largest number of concurrent follower sessions so far. */
    public int maxSessions() {
        return maxSessions;
    }

    /** Number of lines that the publisher has logged. */
    public long logLines() {
        return logLines;
    }

    @Override
    void onStarted() {
        publisher = fleet.newPublisher(this);
        fleet.consensus().onStarted(this);
        scheduleTurn(incarnation(), HollowConfigurationFleet.CONTROL_TURN_MICROS);
    }

    @Override
    void onKilled() {
        publisher = null;
        List<HollowConnection> open = List.copyOf(connections.values());
        connections.clear();
        if (!isMachineLost()) {
            open.forEach(fleet::closeAtRelay);
        }
    }

    private void scheduleTurn(long ofIncarnation, long delayMicros) {
        fleet.clock().schedule(delayMicros, () -> {
            if (isRunning() && incarnation() == ofIncarnation) {
                if (!isPaused()) {
                    execute(this::runTurn);
                }
                scheduleTurn(ofIncarnation, HollowConfigurationFleet.CONTROL_TURN_MICROS);
            }
        });
    }

    private void runTurn() {
        fleet.consensus().runTurn(this);
        publisher.tick(fleet.clock().nowMicros());
        maxSessions = Math.max(maxSessions, publisher.sessionCount());
    }

    /** Handles a frame; closes the connection at the relay if the process is not running but its machine is. */
    void receive(HollowConnection connection, byte[] frame) {
        if (!isRunning()) {
            if (!isMachineLost()) {
                fleet.closeAtRelay(connection);
            }
            return;
        }
        execute(() -> handle(connection, frame));
    }

    private void handle(HollowConnection connection, byte[] frame) {
        connections.put(connection.peer(), connection);
        try {
            ConfigurationMessage decoded = fleet.messages().decode(frame);
            if (decoded instanceof ConfigurationMessage.FollowerMessage message) {
                helloCount += decoded instanceof ConfigurationMessage.Hello ? 1 : 0;
                publisher.received(connection.peer(), message, fleet.clock().nowMicros());
            }
        } catch (MalformedConfigurationException e) {
            throw new IllegalStateException("an encoded frame cannot be decoded", e);
        }
    }

    /** Called when a connection was closed by the relay. */
    void onConnectionClosed(HollowConnection connection) {
        execute(() -> {
            connections.remove(connection.peer());
            publisher.disconnected(connection.peer());
        });
    }

    @Override
    public boolean send(String peer, ConfigurationMessage.PublisherMessage message) {
        HollowConnection connection = connections.get(peer);
        if (connection == null) {
            return false;
        }
        byte[] frame = fleet.messages().encode(message);
        fleet.network().send(this, connection.relay(), connection.toRelay(), frame, bytes -> connection
                .relay()
                .receive(connection, bytes));
        return true;
    }

    @Override
    public void close(String peer) {
        HollowConnection connection = connections.remove(peer);
        if (connection != null) {
            fleet.closeAtRelay(connection);
        }
    }

    @Override
    public void log(String text) {
        logLines++;
    }
}
