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

/** Carries encoded messages between machines of two regions, each direction by itself, and counts them. */
final class SimulatedNetwork {
    static final String GROUP = "configuration";

    /** One way of a connection. */
    private record Direction(ControlIdentity from, ControlIdentity to) {}

    /** Messages and bytes that one machine sent. */
    static final class Traffic {
        long messages;
        long bytes;
    }

    private final SimulatedTime time;
    private final SplittableRandom random;
    private final RaftMessageCodec codec = new RaftMessageCodec(GROUP, ConfigurationLimits.DEFAULT);
    private final Map<ControlIdentity, Integer> regions = new HashMap<>();
    private final Map<ControlIdentity, Consumer<RaftMessage>> receivers = new HashMap<>();
    private final Set<Direction> cuts = new HashSet<>();
    final Map<ControlIdentity, Traffic> sent = new HashMap<>();
    /** One way between the regions. */
    long betweenRegionsMicros = 20_000;

    private static final long WITHIN_REGION_MICROS = 500;
    /** Each message is delayed by up to this share of its delay more. */
    private static final double JITTER = 0.2;

    double lossShare;

    private final MessageDigest trace;

    SimulatedNetwork(SimulatedTime time, SplittableRandom random) {
        this.time = time;
        this.random = random;
        try {
            trace = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A digest of all that was sent so far: moments, senders, receivers and bytes, in order. */
    String traceDigest() {
        try {
            return HexFormat.of().formatHex(((MessageDigest) trace.clone()).digest());
        } catch (CloneNotSupportedException e) {
            throw new IllegalStateException(e);
        }
    }

    void attach(ControlIdentity machine, int region, Consumer<RaftMessage> receiver) {
        regions.put(machine, region);
        receivers.put(machine, receiver);
        sent.computeIfAbsent(machine, ignored -> new Traffic());
    }

    void cut(ControlIdentity from, ControlIdentity to) {
        cuts.add(new Direction(from, to));
    }

    void heal() {
        cuts.clear();
    }

    void send(ControlIdentity from, ControlIdentity to, RaftMessage message) {
        byte[] frame = codec.encode(message);
        Traffic traffic = sent.get(from);
        traffic.messages++;
        traffic.bytes += frame.length;
        trace.update((time.nowMicros() + " " + from + ">" + to + " ").getBytes(StandardCharsets.UTF_8));
        trace.update(frame);
        Direction direction = new Direction(from, to);
        boolean lost = random.nextDouble() < lossShare;
        long delay = regions.get(from).equals(regions.get(to)) ? WITHIN_REGION_MICROS : betweenRegionsMicros;
        long jittered = delay + (long) (delay * JITTER * random.nextDouble());
        if (lost || !receivers.containsKey(to)) {
            return;
        }
        time.after(jittered, () -> {
            if (!cuts.contains(direction)) {
                receivers.get(to).accept(decode(frame));
            }
        });
    }

    private RaftMessage decode(byte[] frame) {
        try {
            return codec.decode(frame);
        } catch (MalformedConfigurationException e) {
            throw new AssertionError("a message does not survive its codec", e);
        }
    }
}
