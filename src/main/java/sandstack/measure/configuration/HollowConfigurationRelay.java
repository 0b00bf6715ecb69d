package sandstack.measure.configuration;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import sandstack.configuration.ConfigurationFollower;
import sandstack.configuration.ConfigurationMessage;
import sandstack.configuration.ConfigurationSnapshot;
import sandstack.configuration.FollowerOutput;
import sandstack.configuration.MalformedConfigurationException;

/** A hollow relay: a real follower on a simulated network and disk, without clients. Not thread-safe. */
public final class HollowConfigurationRelay extends HollowProcess implements FollowerOutput {
    private final HollowConfigurationFleet fleet;
    private final InMemoryConfigurationStore store = new InMemoryConfigurationStore();
    private final Map<String, HollowConnection> connections = new LinkedHashMap<>();
    private BiConsumer<HollowConfigurationRelay, ConfigurationSnapshot> activationListener = (relay, snapshot) -> {};
    private Consumer<ConfigurationMessage> messageListener = message -> {};
    private ConfigurationFollower follower;
    private long logLines;

    HollowConfigurationRelay(HollowConfigurationFleet fleet, String name, String region) {
        super(name, region);
        this.fleet = fleet;
    }

    /** Sets the listener for activated snapshots. */
    public void setActivationListener(BiConsumer<HollowConfigurationRelay, ConfigurationSnapshot> listener) {
        activationListener = listener;
    }

    /** Sets the listener for received messages, which is called before the follower. */
    void setMessageListener(Consumer<ConfigurationMessage> listener) {
        messageListener = listener;
    }

    /** The simulated disk, whose content survives a kill. */
    public InMemoryConfigurationStore store() {
        return store;
    }

    /** The follower; null while the process is not running. */
    public ConfigurationFollower follower() {
        return follower;
    }

    /** Number of lines that the follower has logged. */
    public long logLines() {
        return logLines;
    }

    @Override
    void onStarted() {
        follower = fleet.newFollower(this);
    }

    @Override
    void onKilled() {
        follower = null;
        boolean closesConnections = !isMachineLost();
        List<HollowConnection> open = List.copyOf(connections.values());
        connections.clear();
        if (closesConnections) {
            open.forEach(fleet::closeAtMachine);
        }
    }

    /** Runs a turn of the follower, if the process is running. */
    void runTurn() {
        if (isRunning() && !isPaused()) {
            execute(() -> follower.tick(fleet.clock().nowMicros()));
        }
    }

    /**
     * Handles a frame. If the connection is no longer open here, closes it at the control machine, unless this machine
     * is lost.
     */
    void receive(HollowConnection connection, byte[] frame) {
        if (!isRunning() || connections.get(connection.machine().name()) != connection) {
            if (!isMachineLost()) {
                fleet.closeAtMachine(connection);
            }
            return;
        }
        execute(() -> handle(connection, frame));
    }

    private void handle(HollowConnection connection, byte[] frame) {
        if (connections.get(connection.machine().name()) != connection) {
            return;
        }
        try {
            if (fleet.messages().decode(frame) instanceof ConfigurationMessage.PublisherMessage message) {
                messageListener.accept(message);
                follower.received(
                        connection.machine().name(), message, fleet.clock().nowMicros());
            }
        } catch (MalformedConfigurationException e) {
            throw new IllegalStateException("an encoded frame cannot be decoded", e);
        }
    }

    /** Called when a connection was closed by the control machine. */
    void onConnectionClosed(HollowConnection connection) {
        execute(() -> {
            if (connections.remove(connection.machine().name(), connection)) {
                follower.disconnected(connection.machine().name(), fleet.clock().nowMicros());
            }
        });
    }

    @Override
    public void send(String machine, ConfigurationMessage.FollowerMessage message) {
        HollowConnection connection = connections.computeIfAbsent(machine, name -> fleet.connect(this, name));
        byte[] frame = fleet.messages().encode(message);
        fleet.network().send(this, connection.machine(), connection.toMachine(), frame, bytes -> connection
                .machine()
                .receive(connection, bytes));
    }

    @Override
    public void close(String machine) {
        HollowConnection connection = connections.remove(machine);
        if (connection != null) {
            fleet.closeAtMachine(connection);
        }
    }

    @Override
    public void activated(ConfigurationSnapshot snapshot) {
        activationListener.accept(this, snapshot);
    }

    @Override
    public void log(String text) {
        logLines++;
    }
}
