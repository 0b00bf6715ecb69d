package sandstack.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import sandstack.configuration.ConfigurationEdit.Put;
import sandstack.configuration.ConfigurationEdit.Remove;

/**
 * Simulates eight relays and three control machines under random faults, on one thread in simulated time. Every
 * message, closed connection, activated configuration and log line, and the final status of each relay and machine, is
 * added to a digest, with its time and its bytes; the text of log lines is left out. Two builds with the same behaviour
 * in the same order have the same digest.
 */
final class DistributionTrace {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long TICK_MICROS = 100_000;
    private static final long RUN_MICROS = 240 * SECOND_MICROS;
    private static final int RELAYS = 8;
    private static final int MAX_DELAY_MICROS = 40_000;
    private static final PublisherSettings PUBLISHER_SETTINGS = new PublisherSettings(
            6, 2 * SECOND_MICROS, 8 * SECOND_MICROS, 4, 400, 12, 1 << 20, 96, 5, 4_000, 20, 10, 40);
    private static final FollowerSettings FOLLOWER_SETTINGS = new FollowerSettings(
            6 * SECOND_MICROS,
            SECOND_MICROS,
            SECOND_MICROS / 4,
            4,
            3 * SECOND_MICROS,
            10 * SECOND_MICROS,
            60 * SECOND_MICROS,
            SECOND_MICROS,
            2 * SECOND_MICROS);
    private static final List<ControlMachine> MACHINES = List.of(
            new ControlMachine("north-1", "north"),
            new ControlMachine("north-2", "north"),
            new ControlMachine("south-1", "south"));

    /** A scheduled delivery. Deliveries at the same time run in the order in which they were scheduled. */
    private record Delivery(long atMicros, long order, Runnable action) {}

    private final SplittableRandom random;
    private final MessageDigest digest;
    private final Map<String, Integer> counts = new TreeMap<>();
    private final PriorityQueue<Delivery> network =
            new PriorityQueue<>(Comparator.comparingLong(Delivery::atMicros).thenComparingLong(Delivery::order));
    private final ChangeValidator validator = new ChangeValidator(ConfigurationLimits.DEFAULT, ConfigurationCheck.NONE);
    private final ConfigurationCodec codec = new ConfigurationCodec(ConfigurationLimits.DEFAULT);
    private final ConfigurationMessageCodec messages = new ConfigurationMessageCodec(codec);
    private final Map<String, Publisher> publishers = new LinkedHashMap<>();
    private final List<Relay> relays = new ArrayList<>();
    private final ConfigurationHistory history;
    private long nextOrder;
    private long nowMicros = SECOND_MICROS;
    private boolean regionsPartitioned;
    private double lossShare;

    DistributionTrace(long seed) {
        random = new SplittableRandom(seed);
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
        MACHINES.forEach(machine -> publishers.put(machine.name(), new Publisher(machine)));
        for (int i = 0; i < RELAYS; i++) {
            relays.add(new Relay(new RelayIdentity("relay-" + i, i % 2 == 0 ? "north" : "south")));
        }
        history = new ConfigurationHistory(validator, new CommittedChangeListener() {
            @Override
            public void committed(CommittedChange change) {
                publishers.values().forEach(publisher -> publisher.committed(change));
            }

            @Override
            public void restored(ConfigurationSnapshot snapshot) {
                throw new AssertionError("no snapshot is installed in this simulation");
            }
        });
    }

    /** Runs the simulation; returns the number of events of each kind and the digest of all events. */
    String run() {
        while (nowMicros < RUN_MICROS) {
            nowMicros += TICK_MICROS;
            injectRandomFault();
            deliver();
            publishers.values().forEach(Publisher::tick);
            relays.forEach(Relay::tick);
        }
        publishers.values().forEach(Publisher::recordOverview);
        relays.forEach(Relay::recordStatus);
        return counts.toString().replace(" ", "") + " " + HexFormat.of().formatHex(digest.digest());
    }

    private void deliver() {
        while (!network.isEmpty() && network.peek().atMicros() <= nowMicros) {
            network.poll().action().run();
        }
    }

    private void injectRandomFault() {
        if (random.nextInt(20) == 0) {
            propose();
        }
        Publisher publisher =
                publishers.get(MACHINES.get(random.nextInt(MACHINES.size())).name());
        Relay relay = relays.get(random.nextInt(RELAYS));
        switch (random.nextInt(400)) {
            case 0 -> regionsPartitioned = true;
            case 1, 2, 3 -> regionsPartitioned = false;
            case 4 -> lossShare = 0.2;
            case 5, 6 -> lossShare = 0;
            case 7 -> publisher.start();
            case 8 -> publisher.lag();
            case 9, 10 -> publisher.catchUp();
            case 11 -> relay.start();
            case 12 -> relay.store.wipe();
            case 13 -> relay.store.fails = !relay.store.fails;
            case 14 -> relay.pausedUntilMicros = nowMicros + 3 * SECOND_MICROS;
            case 15 -> relay.rejectsUnusableKey = !relay.rejectsUnusableKey;
            case 16 -> publisher.setQuorum(false);
            case 17, 18 -> publisher.setQuorum(true);
            case 19 -> publisher.sendBufferFull = !publisher.sendBufferFull;
            case 20 -> relay.flood();
            case 21 -> relay.store.damage();
            default -> {}
        }
    }

    private void propose() {
        String key = random.nextInt(8) == 0 ? "unusable" : "key-" + random.nextInt(20);
        ConfigurationEdit edit = random.nextInt(3) == 0 ? new Remove(key) : new Put(key, "v" + random.nextInt(1_000));
        ConfigurationVersion base = history.current().version();
        if (random.nextInt(15) == 0) {
            forge(base, edit);
        } else {
            history.applyCommitted(term(), ConfigurationChange.of(base, "ann", "drawn", List.of(edit)));
        }
    }

    private long term() {
        return 1 + nowMicros / (60 * SECOND_MICROS);
    }

    /**
     * Sends a relay a change that was not committed: its digest does not match its edits, and its format version may be
     * unsupported.
     */
    private void forge(ConfigurationVersion base, ConfigurationEdit edit) {
        int formatVersion = 1 + random.nextInt(2);
        ConfigurationChange change = new ConfigurationChange(formatVersion, base, "ann", "forged", List.of(edit));
        CommittedChange forged = new CommittedChange(base.next(term()), change, new ConfigurationDigest(1, 2));
        Relay relay = relays.get(random.nextInt(RELAYS));
        relay.follower.status().machine().ifPresent(machine -> {
            long session = publishers.get(machine).sessions.getOrDefault(relay.identity.name(), 0L);
            relay.follower.received(machine, new ConfigurationMessage.Deltas(session, List.of(forged)), nowMicros);
        });
    }

    /** Whether a message between these regions is delivered. Draws at random whether the message is lost. */
    private boolean drawDelivery(String oneRegion, String otherRegion) {
        return !(regionsPartitioned && !oneRegion.equals(otherRegion)) && random.nextDouble() >= lossShare;
    }

    private void deliverLater(Runnable action) {
        network.add(new Delivery(nowMicros + random.nextInt(MAX_DELAY_MICROS), nextOrder++, action));
    }

    private void record(String kind, String subject, byte[] bytes) {
        counts.merge(kind, 1, Integer::sum);
        digest.update((nowMicros + " " + kind + " " + subject + " ").getBytes(StandardCharsets.UTF_8));
        digest.update(bytes);
    }

    private void record(String kind, String subject, String text) {
        record(kind, subject, text.getBytes(StandardCharsets.UTF_8));
    }

    private static String describe(ConfigurationHead head) {
        return head.version() + " " + head.digest() + " " + head.hasQuorum();
    }

    private ConfigurationMessage decode(byte[] frame) {
        try {
            return messages.decode(frame);
        } catch (MalformedConfigurationException e) {
            throw new AssertionError("an encoded message could not be decoded", e);
        }
    }

    /** A control machine that can restart, which loses its sessions, and lag behind the committed history. */
    private final class Publisher implements PublisherOutput {
        final ControlMachine machine;
        private final List<CommittedChange> withheld = new ArrayList<>();
        private boolean lagging;
        private boolean quorum = true;
        private ConfigurationPublisher configurationPublisher;
        boolean sendBufferFull;
        /** The id of the session in which each relay was last sent a message, by relay name. */
        final Map<String, Long> sessions = new HashMap<>();

        Publisher(ControlMachine machine) {
            this.machine = machine;
            start();
        }

        void start() {
            configurationPublisher = new ConfigurationPublisher(PUBLISHER_SETTINGS, codec, this, nowMicros);
            configurationPublisher.setQuorumReached(quorum);
            if (history != null) {
                withheld.clear();
                configurationPublisher.restored(history.current());
            }
        }

        void lag() {
            lagging = true;
        }

        /** Applies the changes that it lacks: as a snapshot if there are more than three, else one by one. */
        void catchUp() {
            lagging = false;
            if (withheld.size() > 3) {
                configurationPublisher.restored(history.current());
            } else {
                withheld.stream()
                        .filter(change -> change.version().index()
                                > configurationPublisher.head().version().index())
                        .forEach(configurationPublisher::committed);
            }
            withheld.clear();
        }

        void setQuorum(boolean reached) {
            quorum = reached;
            configurationPublisher.setQuorumReached(reached);
        }

        void committed(CommittedChange change) {
            if (lagging) {
                withheld.add(change);
            } else {
                configurationPublisher.committed(change);
            }
        }

        void tick() {
            configurationPublisher.tick(nowMicros);
        }

        void recordOverview() {
            ConfigurationPublisher.Overview overview = configurationPublisher.overview();
            record(
                    "overview",
                    machine.name(),
                    describe(overview.head()) + " " + overview.relaysByVersion() + " " + overview.relaysRejecting()
                            + " " + overview.relaysWithDigestMismatch() + " " + configurationPublisher.sessionCount());
        }

        @Override
        public boolean send(String peer, ConfigurationMessage.PublisherMessage message) {
            if (sendBufferFull && random.nextInt(3) == 0) {
                return false;
            }
            sessions.put(peer, message.sessionId());
            byte[] frame = messages.encode(message);
            record("from-publisher." + frame[0], machine.name() + ">" + peer, frame);
            Relay relay = relays.get(Integer.parseInt(peer.substring("relay-".length())));
            if (drawDelivery(machine.region(), relay.identity.region())) {
                deliverLater(() -> relay.received(machine.name(), frame));
            }
            return true;
        }

        @Override
        public void close(String peer) {
            record("publisher-closes", machine.name() + ">" + peer, "");
            Relay relay = relays.get(Integer.parseInt(peer.substring("relay-".length())));
            deliverLater(() -> relay.follower.disconnected(machine.name(), nowMicros));
        }

        @Override
        public void log(String text) {
            record("publisher-line", machine.name(), "");
        }
    }

    /** A relay that can restart with its disk, pause, and reject configurations that contain one key. */
    private final class Relay implements FollowerOutput {
        final RelayIdentity identity;
        final MemoryStore store = new MemoryStore();
        ConfigurationFollower follower;
        boolean rejectsUnusableKey;
        long pausedUntilMicros;

        Relay(RelayIdentity identity) {
            this.identity = identity;
            start();
        }

        void start() {
            ChangeValidator relayValidator = new ChangeValidator(
                    ConfigurationLimits.DEFAULT,
                    state -> rejectsUnusableKey && state.entries().containsKey("unusable")
                            ? Optional.of("key unusable is present")
                            : Optional.empty());
            follower = new ConfigurationFollower(
                    FOLLOWER_SETTINGS,
                    identity,
                    MACHINES,
                    relayValidator,
                    store,
                    this,
                    new SplittableRandom(random.nextLong()),
                    nowMicros);
        }

        void received(String machine, byte[] frame) {
            if (nowMicros >= pausedUntilMicros) {
                follower.received(machine, (ConfigurationMessage.PublisherMessage) decode(frame), nowMicros);
            }
        }

        void tick() {
            if (nowMicros >= pausedUntilMicros) {
                follower.tick(nowMicros);
            }
        }

        /** Sends many copies of one message at the same time. */
        void flood() {
            follower.status().machine().ifPresent(machine -> {
                Publisher publisher = publishers.get(machine);
                long session = publisher.sessions.getOrDefault(identity.name(), 0L);
                for (int i = 0; i < 60; i++) {
                    publisher.configurationPublisher.received(
                            identity.name(), new ConfigurationMessage.SnapshotRequest(session, 1), nowMicros);
                }
            });
        }

        void recordStatus() {
            ConfigurationFollower.Status status = follower.status();
            record(
                    "status",
                    identity.name(),
                    status.activeVersion() + " " + status.digest() + " " + status.machine() + " "
                            + status.head().map(DistributionTrace::describe) + " "
                            + status.rejection().map(ChangeRejection::reason));
        }

        @Override
        public void send(String machine, ConfigurationMessage.FollowerMessage message) {
            byte[] frame = messages.encode(message);
            record("from-follower." + frame[0], identity.name() + ">" + machine, frame);
            Publisher publisher = publishers.get(machine);
            if (drawDelivery(identity.region(), publisher.machine.region())) {
                deliverLater(() -> publisher.configurationPublisher.received(
                        identity.name(), (ConfigurationMessage.FollowerMessage) decode(frame), nowMicros));
            }
        }

        @Override
        public void close(String machine) {
            record("follower-closes", identity.name() + ">" + machine, "");
            deliverLater(() -> publishers.get(machine).configurationPublisher.disconnected(identity.name()));
        }

        @Override
        public void activated(ConfigurationSnapshot snapshot) {
            record("in-force", identity.name(), codec.encode(snapshot));
        }

        @Override
        public void log(String text) {
            record("follower-line", identity.name(), "");
        }
    }

    /** An in-memory store that can fail to write, be emptied and be damaged. */
    private final class MemoryStore implements ConfigurationStore {
        private Loaded stored = new Loaded.Absent();
        boolean fails;

        void wipe() {
            stored = new Loaded.Absent();
        }

        void damage() {
            if (stored instanceof Loaded.Found found) {
                stored = random.nextBoolean()
                        ? new Loaded.Unreadable("damaged")
                        : new Loaded.Found(
                                found.version(), found.formatVersion(), found.entries(), ConfigurationDigest.EMPTY);
            }
        }

        @Override
        public Loaded load() {
            return stored;
        }

        @Override
        public void apply(CommittedChange change, ConfigurationSnapshot after) throws ConfigurationStoreException {
            replace(after);
        }

        @Override
        public void replace(ConfigurationSnapshot snapshot) throws ConfigurationStoreException {
            if (fails) {
                throw new ConfigurationStoreException("no space", null);
            }
            stored = new Loaded.Found(
                    snapshot.version(), snapshot.formatVersion(), snapshot.entries(), snapshot.digest());
        }
    }
}
