package sandstack.faultinjection;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import sandstack.testserver.FakeDiscovery;
import sandstack.testserver.FakeFeedServer;
import sandstack.testserver.ServerProfile;
import sandstack.testserver.TestServerLoop;

/**
 * A fleet of relays that run as real processes, each with its own address and folder, and with a {@link MemberLink} for
 * each ordered pair of members to inject network faults. Listens on loopback addresses only. Members are identified by
 * their index, from 0. Used on one thread; the links run on the thread of the loop.
 */
public final class ProcessFleet implements AutoCloseable {
    private static final List<String> JAVA = List.of(
            Path.of(System.getProperty("java.home"), "bin/java").toString(),
            "-Xmx64m",
            "-Xss256k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:-UsePerfData");
    private static final int SEED_MEMBERS = 3;
    private static final long CONDITION_POLL_MILLIS = 50;
    private static final long TERMINATION_TIMEOUT_SECONDS = 20;
    private static final int MEMBERS_PER_SUBNET = 250;

    private final int size;
    private final int zones;
    private final List<String> program;
    private final Path folder;
    private final TestServerLoop loop;
    private final FakeDiscovery discovery;
    private final int[] ports;
    private final FleetLinks links;
    private final MemberProcess[] members;

    /**
     * Creates the links and the fake discovery; does not start any member.
     *
     * @param program the arguments that follow {@code java} and its options, such as {@code -jar target/sandstack.jar}
     * @param zones number of zones over which the members are spread
     */
    public ProcessFleet(List<String> program, int size, int zones) throws IOException {
        this.program = program;
        this.size = size;
        this.zones = zones;
        this.folder = Files.createTempDirectory("sandstack-fleet");
        this.loop = new TestServerLoop();
        this.discovery = loop.create(() -> new FakeDiscovery(loop));
        FakeFeedServer server = loop.create(() -> new FakeFeedServer(loop, "s0", "zone-0", ServerProfile.UNLIMITED));
        loop.run(() -> discovery.publish(server, "box", 1, "ready"));
        ports = new int[size];
        members = new MemberProcess[size];
        for (int i = 0; i < size; i++) {
            try (ServerSocket freePort = new ServerSocket(0, 1, InetAddress.getByName(host(i)))) {
                ports[i] = freePort.getLocalPort();
            }
        }
        links = new FleetLinks(loop, ports, ProcessFleet::host);
    }

    /** The loopback address of the member with this index; 127.77.0.1 for the first one. */
    private static String host(int i) {
        return "127.77." + i / MEMBERS_PER_SUBNET + "." + (i % MEMBERS_PER_SUBNET + 1);
    }

    /** The address, {@code HOST:PORT}, at which a member listens and by which the other members identify it. */
    public String address(int i) {
        return host(i) + ":" + ports[i];
    }

    /** The number of members, started or not. */
    public int size() {
        return size;
    }

    /** The relay name of the member with this index. */
    public static String memberName(int i) {
        return "m" + i;
    }

    /** Starts or restarts a member without waiting until it has joined. */
    public void start(int i) throws IOException {
        start(i, memberName(i));
    }

    /** Starts a member under a relay name that may be that of another member. */
    public void start(int i, String name) throws IOException {
        Path memberFolder = folder.resolve("m" + i);
        configuration(i, name).write(memberFolder);
        List<String> command = new ArrayList<>(JAVA);
        command.add("-Dsandstack.deploy=" + MemberConfiguration.deployFolder(memberFolder));
        command.addAll(program);
        members[i] = new MemberProcess(command, memberFolder, List.of("console", "--fleet"));
    }

    private MemberConfiguration configuration(int i, String name) {
        Map<String, Integer> linkPorts = new LinkedHashMap<>();
        for (int j = 0; j < size; j++) {
            if (j != i) {
                linkPorts.put(address(j), links.port(i, j));
            }
        }
        return new MemberConfiguration(
                i,
                name,
                host(i),
                address(i),
                IntStream.range(0, Math.min(SEED_MEMBERS, size))
                        .mapToObj(this::address)
                        .toList(),
                IntStream.range(0, size).mapToObj(ProcessFleet::memberName).toList(),
                linkPorts,
                discovery.port(),
                zones);
    }

    /** Starts all members without waiting until they have joined. */
    public void startAll() throws IOException {
        for (int i = 0; i < size; i++) {
            start(i);
        }
    }

    /** The process of a member; null if it was never started. */
    MemberProcess member(int i) {
        return members[i];
    }

    /** Kills a member's process and waits until it has ended. */
    public void kill(int i) {
        members[i].close();
    }

    /** Asks a member to terminate and waits until it has, or for {@link #TERMINATION_TIMEOUT_SECONDS}. */
    public void stop(int i) throws InterruptedException {
        members[i].terminate();
        members[i].awaitExit(TERMINATION_TIMEOUT_SECONDS);
    }

    /** Suspends a member's process until it is resumed. */
    public void pause(int i) throws IOException {
        members[i].pause();
    }

    /** Continues a suspended process. */
    public void resume(int i) throws IOException {
        members[i].resume();
    }

    /** Blocks the traffic from the first member to the second, but not the traffic in the other direction. */
    public void partitionOneWay(int from, int to) {
        links.block(from, to);
    }

    /** Partitions two members from each other. */
    public void partition(int a, int b) {
        links.block(a, b);
        links.block(b, a);
    }

    /** Ends a partition of two members and delivers the traffic that was buffered during it. */
    public void heal(int a, int b) {
        links.unblock(a, b);
        links.unblock(b, a);
    }

    /** Resets all connections between two members; they can connect again. */
    public void resetConnections(int a, int b) {
        links.reset(a, b);
    }

    /** Sets delay, jitter and bandwidth of the links between two members; zeros restore the full speed. */
    public void setLatency(int a, int b, long delayMicros, long jitterMicros, long bytesPerSecond) {
        links.setLatency(a, b, delayMicros, jitterMicros, bytesPerSecond);
    }

    /**
     * The status of each relay name in a member's view: that of its present incarnation, or of the first one listed if
     * there is none. Null if the member does not respond.
     */
    public Map<String, String> memberStatuses(int i) {
        JsonNode view = members[i].view();
        return view == null ? null : FleetViewReader.statuses(view);
    }

    /** Whether every member reports every member as alive. */
    public boolean allAlive() {
        for (int i = 0; i < size; i++) {
            Map<String, String> statuses = memberStatuses(i);
            if (statuses == null
                    || statuses.size() != size
                    || !statuses.values().stream().allMatch("ALIVE"::equals)) {
                return false;
            }
        }
        return true;
    }

    /** The entry of a relay name in a member's view; null if there is none or the member does not respond. */
    public JsonNode memberEntry(int i, String name) {
        JsonNode view = members[i].view();
        return view == null ? null : FleetViewReader.entry(view, name);
    }

    /**
     * Waits until a condition holds; returns the time that this took, in microseconds, or -1 after the timeout or an
     * interrupt.
     */
    public static long awaitMicros(BooleanSupplier condition, double timeoutSeconds) {
        long beganNanos = System.nanoTime();
        while (System.nanoTime() - beganNanos < timeoutSeconds * 1e9) {
            if (condition.getAsBoolean()) {
                return (System.nanoTime() - beganNanos) / 1_000;
            }
            try {
                Thread.sleep(CONDITION_POLL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return -1;
            }
        }
        return -1;
    }

    /** Number of bytes that the links have delivered to members so far. */
    public long forwardedBytes() {
        return links.forwardedBytes();
    }

    /** The process id of a member. */
    public long processId(int i) {
        return members[i].pid();
    }

    /** The logs of all members; each line starts with the name of its member. */
    public String logs() {
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < size; i++) {
            if (members[i] != null) {
                for (String line : members[i].log()) {
                    all.append(memberName(i)).append("  ").append(line).append('\n');
                }
            }
        }
        return all.toString();
    }

    @Override
    public void close() {
        for (MemberProcess member : members) {
            if (member != null) {
                member.kill();
            }
        }
        for (MemberProcess member : members) {
            if (member != null) {
                member.close();
            }
        }
        loop.close();
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder())
                    .forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // a temporary folder that remains is harmless
        }
    }
}
