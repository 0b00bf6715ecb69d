package sandstack.measure.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import sandstack.configuration.ChangeValidator;
import sandstack.configuration.ConfigurationCheck;
import sandstack.configuration.ConfigurationCodec;
import sandstack.configuration.ConfigurationFollower;
import sandstack.configuration.ConfigurationLimits;
import sandstack.configuration.ConfigurationMessageCodec;
import sandstack.configuration.ConfigurationPublisher;
import sandstack.configuration.ConfigurationVersion;
import sandstack.configuration.ControlMachine;
import sandstack.configuration.FollowerSettings;
import sandstack.configuration.PublisherSettings;
import sandstack.configuration.RelayIdentity;
import sandstack.measure.scale.SimulatedClock;

/**
 * A fleet of hollow relays and control machines in two regions, in one process and in simulated time. Not thread-safe.
 */
public final class HollowConfigurationFleet {
    /** Interval of a relay's turns. */
    static final long RELAY_TURN_MICROS = 250_000;
    /** Default of {@link Plan#maxReplayedChanges}: a consensus library retains some thousands of log entries. */
    private static final int MAX_REPLAYED_CHANGES = 1_000;
    /**
     * Number of groups in which relays run their turns: one event for the turns of many relays keeps the event queue
     * short.
     */
    private static final int TURN_GROUPS = 25;
    /** Interval of a control machine's turns. */
    static final long CONTROL_TURN_MICROS = 100_000;

    private static final long START_MICROS = 1_000_000;
    private static final List<String> REGIONS = List.of("north", "south");

    /**
     * Size and settings of a fleet.
     *
     * @param relays number of relays
     * @param machines number of control machines
     * @param publisher settings of the control machines
     * @param follower settings of the relays
     * @param maxReplayedChanges maximum number of changes that a lagging control machine replays; one that lags further
     *     installs a snapshot
     * @param seed seed of all random numbers
     */
    public record Plan(
            int relays,
            int machines,
            PublisherSettings publisher,
            FollowerSettings follower,
            int maxReplayedChanges,
            long seed) {
        /** A plan with default settings. */
        public static Plan of(int relays, int machines, long seed) {
            return new Plan(
                    relays, machines, PublisherSettings.DEFAULT, FollowerSettings.DEFAULT, MAX_REPLAYED_CHANGES, seed);
        }
    }

    private final Plan plan;
    private final SplittableRandom random;
    private final SimulatedClock clock = new SimulatedClock(START_MICROS);
    private final SimulatedNetwork network;
    private final ChangeValidator validator = new ChangeValidator(ConfigurationLimits.DEFAULT, ConfigurationCheck.NONE);
    private final ConfigurationCodec codec = new ConfigurationCodec(ConfigurationLimits.DEFAULT);
    private final ConfigurationMessageCodec messages = new ConfigurationMessageCodec(codec);
    private final List<HollowControlMachine> machines = new ArrayList<>();
    private final List<HollowConfigurationRelay> relays = new ArrayList<>();
    private final List<ControlMachine> controlMachines = new ArrayList<>();
    private final ModelledConsensus consensus;
    private long connections;

    /** Creates all processes without starting them. */
    public HollowConfigurationFleet(Plan plan) {
        this.plan = plan;
        this.random = new SplittableRandom(plan.seed());
        this.network = new SimulatedNetwork(clock, random.split());
        this.consensus = new ModelledConsensus(this, validator, plan.maxReplayedChanges());
        for (int i = 0; i < plan.machines(); i++) {
            HollowControlMachine machine = new HollowControlMachine(this, "control-" + i, REGIONS.get(i % 2));
            machines.add(machine);
            controlMachines.add(new ControlMachine(machine.name(), machine.region()));
        }
        for (int i = 0; i < plan.relays(); i++) {
            relays.add(new HollowConfigurationRelay(this, "relay-" + i, REGIONS.get(i % 2)));
        }
        runTurns(0);
    }

    /** Starts all processes that are not running. */
    public void startAll() {
        machines.stream().filter(each -> !each.isRunning()).forEach(HollowProcess::start);
        relays.stream().filter(each -> !each.isRunning()).forEach(HollowProcess::start);
    }

    /** The simulated clock. */
    public SimulatedClock clock() {
        return clock;
    }

    /** The modelled consensus of the control machines. */
    public ModelledConsensus consensus() {
        return consensus;
    }

    /** The control machines, running or not. */
    public List<HollowControlMachine> machines() {
        return List.copyOf(machines);
    }

    /** The relays, running or not. */
    public List<HollowConfigurationRelay> relays() {
        return List.copyOf(relays);
    }

    /** Sets the faults of the network, which also affect the arrival of messages in flight. */
    public void setFaults(NetworkFaults faults) {
        network.setFaults(faults);
    }

    /** Whether the last committed snapshot is active at every relay. */
    public boolean isActiveEverywhere() {
        ConfigurationVersion version = consensus.current().version();
        return relays.stream()
                .allMatch(relay -> relay.follower() != null
                        && relay.follower().activeSnapshot().version().equals(version));
    }

    /**
     * Advances until the last committed snapshot is active at every relay. Returns the simulated time until then in
     * microseconds, or -1 after the timeout.
     */
    public long advanceUntilActiveEverywhere(long stepMicros, long timeoutMicros) {
        long startMicros = clock.nowMicros();
        while (!isActiveEverywhere()) {
            if (clock.nowMicros() - startMicros >= timeoutMicros) {
                return -1;
            }
            clock.advance(stepMicros);
        }
        return clock.nowMicros() - startMicros;
    }

    SimulatedNetwork network() {
        return network;
    }

    ConfigurationMessageCodec messages() {
        return messages;
    }

    private void runTurns(int group) {
        for (int i = group; i < relays.size(); i += TURN_GROUPS) {
            relays.get(i).runTurn();
        }
        clock.schedule(RELAY_TURN_MICROS / TURN_GROUPS, () -> runTurns((group + 1) % TURN_GROUPS));
    }

    ConfigurationFollower newFollower(HollowConfigurationRelay relay) {
        return new ConfigurationFollower(
                plan.follower(),
                new RelayIdentity(relay.name(), relay.region()),
                controlMachines,
                validator,
                relay.store(),
                relay,
                random.split(),
                clock.nowMicros());
    }

    ConfigurationPublisher newPublisher(HollowControlMachine machine) {
        return new ConfigurationPublisher(plan.publisher(), codec, machine, clock.nowMicros());
    }

    HollowConnection connect(HollowConfigurationRelay relay, String machineName) {
        HollowControlMachine machine = machines.stream()
                .filter(each -> each.name().equals(machineName))
                .findFirst()
                .orElseThrow();
        return new HollowConnection(++connections, relay, machine);
    }

    /** Notifies the control machine that a connection was closed. */
    void closeAtMachine(HollowConnection connection) {
        network.signal(connection.relay(), connection.machine(), connection.toMachine(), () -> connection
                .machine()
                .onConnectionClosed(connection));
    }

    /** Notifies the relay that a connection was closed. */
    void closeAtRelay(HollowConnection connection) {
        network.signal(connection.machine(), connection.relay(), connection.toRelay(), () -> connection
                .relay()
                .onConnectionClosed(connection));
    }
}
