package sandstack.configuration.consensus;

import io.microraft.model.message.RaftMessage;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import sandstack.configuration.ConfigurationLimits;
import sandstack.configuration.MalformedConfigurationException;

/** Delivers encoded messages between machines of two regions, counts them, and can cut each direction separately. */
final class SimulatedRaftNetwork {
    static final String GROUP = "configuration";

    /** One direction between two machines. */
    private record Direction(ControlIdentity from, ControlIdentity to) {}

    /** Numbers of messages and bytes that one machine sent, including lost ones. */
    static final class SentTraffic {
        long messages;
        long bytes;
    }

    private final SimulatedTime time;
    private final SplittableRandom random;
    private final RaftMessageCodec codec = new RaftMessageCodec(GROUP, ConfigurationLimits.DEFAULT);
    private final Map<ControlIdentity, Integer> regions = new HashMap<>();
    private final Map<ControlIdentity, Consumer<RaftMessage>> receivers = new HashMap<>();
    private final Set<Direction> cutDirections = new HashSet<>();
    final Map<ControlIdentity, SentTraffic> sent = new HashMap<>();
    /** Minimum one-way delay between machines of different regions. */
    long interRegionDelayMicros = 20_000;

    private static final long INTRA_REGION_DELAY_MICROS = 500;
    /** Maximum random extension of a message's delay, as a ratio of the delay. */
    private static final double MAX_JITTER_RATIO = 0.2;

    double lossRatio;

    private final MessageDigest traceDigest;

    SimulatedRaftNetwork(SimulatedTime time, SplittableRandom random) {
        this.time = time;
        this.random = random;
        try {
            traceDigest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns the SHA-256 of all messages sent so far: times, senders, receivers and bytes, in order. */
    String traceDigest() {
        try {
            return HexFormat.of().formatHex(((MessageDigest) traceDigest.clone()).digest());
        } catch (CloneNotSupportedException e) {
            throw new IllegalStateException(e);
        }
    }

    void attach(ControlIdentity machine, int region, Consumer<RaftMessage> receiver) {
        regions.put(machine, region);
        receivers.put(machine, receiver);
        sent.computeIfAbsent(machine, ignored -> new SentTraffic());
    }

    void cut(ControlIdentity from, ControlIdentity to) {
        cutDirections.add(new Direction(from, to));
    }

    void heal() {
        cutDirections.clear();
    }

    void send(ControlIdentity from, ControlIdentity to, RaftMessage message) {
        byte[] frame = codec.encode(message);
        SentTraffic traffic = sent.get(from);
        traffic.messages++;
        traffic.bytes += frame.length;
        traceDigest.update((time.nowMicros() + " " + from + ">" + to + " ").getBytes(StandardCharsets.UTF_8));
        traceDigest.update(frame);
        Direction direction = new Direction(from, to);
        boolean lost = random.nextDouble() < lossRatio;
        long delay = regions.get(from).equals(regions.get(to)) ? INTRA_REGION_DELAY_MICROS : interRegionDelayMicros;
        long jittered = delay + (long) (delay * MAX_JITTER_RATIO * random.nextDouble());
        if (lost || !receivers.containsKey(to)) {
            return;
        }
        time.after(jittered, () -> {
            if (!cutDirections.contains(direction)) {
                receivers.get(to).accept(decode(frame));
            }
        });
    }

    private RaftMessage decode(byte[] frame) {
        try {
            return codec.decode(frame);
        } catch (MalformedConfigurationException e) {
            throw new AssertionError("message encoded by the codec cannot be decoded", e);
        }
    }
}
