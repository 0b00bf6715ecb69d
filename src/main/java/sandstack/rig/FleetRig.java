package sandstack.rig;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import sandstack.standin.Discovery;
import sandstack.standin.FeedServer;
import sandstack.standin.Machine;
import sandstack.standin.StandInLoop;

/**
 * So many relays of one fleet as real processes, each with an address and a folder of its own, and a link for each
 * ordered pair. All is on loopback, at ports of the system's choice. One caller's thread; the links live on the yard's.
 */
public final class FleetRig implements AutoCloseable {
    private static final List<String> JAVA = List.of(
            Path.of(System.getProperty("java.home"), "bin/java").toString(),
            "-Xmx64m",
            "-Xss256k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:-UsePerfData");
    private static final int SEED_MEMBERS = 3;

    private final int size;
    private final int zones;
    private final List<String> program;
    private final Path folder;
    private final StandInLoop loop;
    private final Discovery discovery;
    private final int[] ports;
    private final MemberLink[][] links;
    /** Whether what the first sends reaches the second, whoever dialled. */
    private final boolean[][] passes;

    private final MemberProcess[] members;

    /**
     * Makes the links and the folders; starts nobody.
     *
     * @param program what follows {@code java} and its options, as {@code -jar target/sandstack.jar}
     * @param zones members are spread over so many
     */
    public FleetRig(List<String> program, int size, int zones) throws IOException {
        this.program = program;
        this.size = size;
        this.zones = zones;
        this.folder = Files.createTempDirectory("sandstack-fleet");
        this.loop = new StandInLoop();
        this.discovery = loop.make(() -> new Discovery(loop));
        FeedServer server = loop.make(() -> new FeedServer(loop, "s0", "zone-0", Machine.IDLE));
        loop.run(() -> discovery.list(server, "box", 1, "ready"));
        ports = new int[size];
        links = new MemberLink[size][size];
        passes = new boolean[size][size];
        members = new MemberProcess[size];
        for (int i = 0; i < size; i++) {
            try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName(host(i)))) {
                ports[i] = probe.getLocalPort();
            }
        }
        for (int i = 0; i < size; i++) {
            for (int j = 0; j < size; j++) {
                int to = j;
                long seed = (long) i * size + j;
                passes[i][j] = true;
                links[i][j] = i == j ? null : loop.make(() -> new MemberLink(loop, host(to), ports[to], seed));
            }
        }
    }

    /** Each has an address of its own: 127.77.0.1 and up. */
    private static String host(int i) {
        return "127.77." + i / 250 + "." + (i % 250 + 1);
    }

    /** The address at which the others know a member. */
    public String address(int i) {
        return host(i) + ":" + ports[i];
    }

    /** How many members there are, started or not. */
    public int size() {
        return size;
    }

    /** The name of a member. */
    public static String name(int i) {
        return "m" + i;
    }

    /** Starts a member, or starts it again; waits for nothing. */
    public void start(int i) throws IOException {
        start(i, name(i));
    }

    /** The same under another name. */
    public void start(int i, String name) throws IOException {
        Path own = folder.resolve("m" + i);
        StringBuilder toml = new StringBuilder("enabled = true\ninstallation = \"rig\"\nlisten = \"" + address(i)
                + "\"\nmachine = \"machine-" + i + "\"\nmembers = [");
        for (int j = 0; j < Math.min(SEED_MEMBERS, size); j++) {
            toml.append(j == 0 ? "" : ", ").append('"').append(address(j)).append('"');
        }
        toml.append("]\nrelays = [")
                .append(String.join(
                        ", ",
                        java.util.stream.IntStream.range(0, size)
                                .mapToObj(j -> '"' + name(j) + '"')
                                .toList()))
                .append("]\n[via]\n");
        for (int j = 0; j < size; j++) {
            if (j != i) {
                toml.append('"')
                        .append(address(j))
                        .append("\" = \"127.0.0.1:")
                        .append(links[i][j].listenPort())
                        .append("\"\n");
            }
        }
        MemberProcess.writeFile(own, "deploy/fleet.toml", toml.toString());
        MemberProcess.writeFile(own, "config.json", config(i, name));
        List<String> words = new ArrayList<>(JAVA);
        words.add("-Dsandstack.deploy=" + own.resolve("deploy"));
        words.addAll(program);
        members[i] = new MemberProcess(words, own, List.of("console", "--fleet"));
    }

    private String config(int i, String name) throws IOException {
        String example = Files.readString(Path.of("examples/config.json"));
        return example.replaceFirst("\"name\": *\"[^\"]*\"", "\"name\": \"" + name + "\"")
                .replaceFirst("\"listen\": *\"[^\"]*\"", "\"listen\": \"" + host(i) + ":0\"")
                .replaceFirst("\"discovery\": *\"[^\"]*\"", "\"discovery\": \"127.0.0.1:" + discovery.port() + "\"")
                .replaceFirst("\"known\": *\\{[^]]*]\\s*},", "")
                .replaceFirst("\"locality\": *0", "\"locality\": " + i % zones)
                .replaceFirst(
                        "\"zones\": *\\[[^]]*]",
                        "\"zones\": ["
                                + String.join(
                                        ", ",
                                        Stream.iterate(0, z -> z + 1)
                                                .limit(zones)
                                                .map(z -> "\"zone-" + z + "\"")
                                                .toList())
                                + "]");
    }

    /** Starts all. */
    public void startAll() throws IOException {
        for (int i = 0; i < size; i++) {
            start(i);
        }
    }

    /** Null where it was never started. */
    MemberProcess member(int i) {
        return members[i];
    }

    /** Kills a member's process, without a word to the others. */
    public void kill(int i) {
        members[i].close();
    }

    /** Asks it to stop, and waits until it has. */
    public void stop(int i) throws InterruptedException {
        members[i].terminate();
        members[i].awaitExit(20);
    }

    /** Stops a member's process from running until it is resumed. */
    public void pause(int i) throws IOException {
        members[i].pause();
    }

    /** Lets a paused member's process run again. */
    public void resume(int i) throws IOException {
        members[i].resume();
    }

    /** From now on nothing that the first sends reaches the second. */
    public void partitionOneWay(int from, int to) {
        setPassing(from, to, false);
    }

    /** Nothing passes between the two. */
    public void cut(int a, int b) {
        setPassing(a, b, false);
        setPassing(b, a, false);
    }

    /** All passes again between the two, and what was held too. */
    public void heal(int a, int b) {
        setPassing(a, b, true);
        setPassing(b, a, true);
    }

    private void setPassing(int from, int to, boolean passing) {
        passes[from][to] = passing;
        loop.run(() -> {
            links[from][to].setBlocked(!passes[from][to], !passes[to][from]);
            links[to][from].setBlocked(!passes[to][from], !passes[from][to]);
        });
    }

    /** Breaks all connections between the two; new ones can be made. */
    public void reset(int a, int b) {
        loop.run(() -> {
            links[a][b].reset();
            links[b][a].reset();
        });
    }

    /** Makes the way between the two slow, in microseconds and bytes a second. */
    public void slow(int a, int b, long delay, long jitter, long bytesASecond) {
        loop.run(() -> {
            links[a][b].setLatency(delay, jitter, bytesASecond);
            links[b][a].setLatency(delay, jitter, bytesASecond);
        });
    }

    /**
     * How member i sees each name: the standing of its present life, else of its last. Null where it does not answer.
     */
    public Map<String, String> standings(int i) {
        JsonNode view = members[i].view();
        if (view == null) {
            return null;
        }
        Map<String, String> seen = new TreeMap<>();
        for (JsonNode member : view.path("members")) {
            boolean present =
                    !List.of("LOST", "LEFT").contains(member.path("standing").asText());
            if (present || !seen.containsKey(member.path("name").asText())) {
                seen.put(member.path("name").asText(), member.path("standing").asText());
            }
        }
        return seen;
    }

    /** Whether all see all alive. */
    public boolean allAlive() {
        for (int i = 0; i < size; i++) {
            Map<String, String> seen = standings(i);
            if (seen == null || seen.size() != size || !seen.values().stream().allMatch("ALIVE"::equals)) {
                return false;
            }
        }
        return true;
    }

    /** What a member says of another: its whole line. Null where it has none. */
    public JsonNode memberEntry(int i, String name) {
        JsonNode view = members[i].view();
        JsonNode found = null;
        if (view != null) {
            for (JsonNode member : view.path("members")) {
                if (member.path("name").asText().equals(name)
                        && (found == null
                                || !List.of("LOST", "LEFT")
                                        .contains(member.path("standing").asText()))) {
                    found = member;
                }
            }
        }
        return found;
    }

    /** Waits until this holds; returns the microseconds that it took, or -1 where it did not within the seconds. */
    public static long until(BooleanSupplier holds, double seconds) {
        long began = System.nanoTime();
        while (System.nanoTime() - began < seconds * 1e9) {
            if (holds.getAsBoolean()) {
                return (System.nanoTime() - began) / 1_000;
            }
            try {
                Thread.sleep(50);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return -1;
            }
        }
        return -1;
    }

    /** Bytes that members have sent each other so far. */
    public long bytes() {
        return loop.on(() -> {
            long sum = 0;
            for (MemberLink[] from : links) {
                for (MemberLink link : from) {
                    sum += link == null ? 0 : link.forwardedBytes();
                }
            }
            return sum;
        });
    }

    /** The process of a member. */
    public long pid(int i) {
        return members[i].pid();
    }

    /** All that members have logged, each line after its member. */
    public String logs() {
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < size; i++) {
            if (members[i] != null) {
                for (String line : members[i].log()) {
                    all.append(name(i)).append("  ").append(line).append('\n');
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
            // a temporary folder that stays does no harm
        }
    }
}
