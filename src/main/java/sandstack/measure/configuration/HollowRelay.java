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

/** A relay without clients: the real follower, on a simulated network and disk. One thread. */
public final class HollowRelay extends HollowProcess implements FollowerOutput {
    private final HollowConfigurationFleet fleet;
    private final StoredInMemory store = new StoredInMemory();
    private final Map<String, HollowConnection> connections = new LinkedHashMap<>();
    private BiConsumer<HollowRelay, ConfigurationSnapshot> observer = (relay, snapshot) -> {};
    private Consumer<ConfigurationMessage> tap = message -> {};
    private ConfigurationFollower follower;
    private long lines;

    HollowRelay(HollowConfigurationFleet fleet, String name, String region) {
        super(name, region);
        this.fleet = fleet;
    }

    /** Is told of each state that is put in force. */
    public void observer(BiConsumer<HollowRelay, ConfigurationSnapshot> told) {
        observer = told;
    }

    /** Is told of each message that arrives, before the follower. */
    void tap(Consumer<ConfigurationMessage> told) {
        tap = told;
    }

    /** Its disk. */
    public StoredInMemory store() {
        return store;
    }

    /** The real follower; null where the process does not run. */
    public ConfigurationFollower follower() {
        return follower;
    }

    /** Lines that it has logged. */
    public long lines() {
        return lines;
    }

    @Override
    void started() {
        follower = fleet.newFollower(this);
    }

    @Override
    void killed() {
        follower = null;
        boolean heard = !isMachineLost();
        List<HollowConnection> open = List.copyOf(connections.values());
        connections.clear();
        if (heard) {
            open.forEach(fleet::endAtMachine);
        }
    }

    /** One of the fleet's turns, where the process runs. */
    void turn() {
        if (isRunning() && !isPaused()) {
            work(() -> follower.tick(fleet.clock().now()));
        }
    }

    /** A frame has arrived on a connection; one that is no longer open hangs up on its sender. */
    void receive(HollowConnection connection, byte[] frame) {
        if (!isRunning() || connections.get(connection.machine().name()) != connection) {
            if (!isMachineLost()) {
                fleet.endAtMachine(connection);
            }
            return;
        }
        work(() -> handle(connection, frame));
    }

    private void handle(HollowConnection connection, byte[] frame) {
        if (connections.get(connection.machine().name()) != connection) {
            return;
        }
        try {
            if (fleet.messages().decode(frame) instanceof ConfigurationMessage.PublisherMessage message) {
                tap.accept(message);
                follower.received(
                        connection.machine().name(), message, fleet.clock().now());
            }
        } catch (MalformedConfigurationException e) {
            throw new IllegalStateException("a frame of ours is not read", e);
        }
    }

    /** The connection is gone. */
    void ended(HollowConnection connection) {
        work(() -> {
            if (connections.remove(connection.machine().name(), connection)) {
                follower.disconnected(connection.machine().name(), fleet.clock().now());
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
            fleet.endAtMachine(connection);
        }
    }

    @Override
    public void activated(ConfigurationSnapshot snapshot) {
        observer.accept(this, snapshot);
    }

    @Override
    public void log(String text) {
        lines++;
    }
}
