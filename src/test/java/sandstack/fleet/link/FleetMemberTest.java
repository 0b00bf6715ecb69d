package sandstack.fleet.link;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.scalecube.cluster.transport.api.Message;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.ObjectOutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import sandstack.config.FleetFile;
import sandstack.config.InvalidConfigurationException;
import sandstack.config.PlatformConfig.Address;
import sandstack.fleet.FleetMessages;
import sandstack.fleet.MemberStatus;
import sandstack.fleet.MemberTable;
import sandstack.fleet.MemberValues;

/** Members over real sockets in one process: published values, calls, and peers that are not members. */
@Execution(ExecutionMode.CONCURRENT)
@Timeout(60)
class FleetMemberTest {
    private final List<FleetMember> members = new ArrayList<>();
    private final List<Address> addresses = new ArrayList<>();

    @AfterEach
    void close() {
        members.forEach(FleetMember::close);
    }

    private FleetMember join(String installation, String name) throws Exception {
        String host = "127.78.0." + (addresses.size() + 1);
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            addresses.add(new Address(host, probe.getLocalPort()));
        }
        FleetMember member = new FleetMember(
                new FleetFile(
                        installation,
                        addresses.get(addresses.size() - 1),
                        "machine",
                        List.of(addresses.get(0).toString()),
                        Set.of(),
                        Map.of()),
                name,
                "zone");
        members.add(member);
        member.start();
        return member;
    }

    private static void eventually(String description, BooleanSupplier condition) {
        long until = System.nanoTime() + 20_000_000_000L;
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as(description).isLessThan(until);
            Thread.onSpinWait();
        }
    }

    private static MemberStatus status(FleetMember observer, FleetMember subject) {
        return observer.view().rows().stream()
                .filter(row ->
                        row.incarnation().id().equals(subject.view().self().id()))
                .map(MemberTable.Row::status)
                .findFirst()
                .orElse(null);
    }

    private FleetMember[] startTwo() throws Exception {
        FleetMember a = join("inst", "a");
        FleetMember b = join("inst", "b");
        eventually(
                "both members report each other as alive",
                () -> status(a, b) == MemberStatus.ALIVE && status(b, a) == MemberStatus.ALIVE);
        return new FleetMember[] {a, b};
    }

    private static String published(FleetMember observer, FleetMember subject, String key) {
        MemberValues.ReceivedValues received =
                observer.view().published().get(subject.view().self().id());
        return received == null ? null : received.values().entries().get(key);
    }

    @Test
    void publishedValueReachesTheOtherMemberAndTheLastOneWins() throws Exception {
        FleetMember[] two = startTwo();
        for (int i = 0; i <= 50; i++) {
            two[0].publish("load", Integer.toString(i));
        }
        eventually("the last published value has arrived", () -> "50".equals(published(two[1], two[0], "load")));
        two[0].publish("load", null);
        eventually("the removed value is no longer in the view", () -> published(two[1], two[0], "load") == null);
    }

    @Test
    void callIsAnsweredOnceOrTimesOut() throws Exception {
        FleetMember[] two = startTwo();
        String to = two[1].view().self().id();
        two[1].registerHandler("twice", (from, body) -> CompletableFuture.completedFuture(body + body));
        two[1].registerHandler("never", (from, body) -> new CompletableFuture<>());
        two[1].registerHandler(
                "no", (from, body) -> CompletableFuture.failedFuture(new IllegalStateException("not now")));
        assertThat(two[0].call(to, "twice", "ab", Duration.ofSeconds(5)).get(10, TimeUnit.SECONDS))
                .isEqualTo("abab");
        assertThatThrownBy(
                        () -> two[0].call(to, "no", "", Duration.ofSeconds(5)).join())
                .isInstanceOf(CompletionException.class)
                .hasMessageContaining("not now");
        assertThatThrownBy(() ->
                        two[0].call(to, "unknown", "", Duration.ofSeconds(5)).join())
                .hasMessageContaining("nothing here takes calls of this kind");
        assertThatThrownBy(() -> two[0].call("nobody", "twice", "", Duration.ofSeconds(5))
                        .join())
                .hasMessageContaining("call twice to nobody failed: not a member");
        long began = System.nanoTime();
        List<CompletableFuture<String>> waiting = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            waiting.add(two[0].call(to, "never", "", Duration.ofMillis(500)));
        }
        // at most eight calls wait for a member that does not respond, until their timeout
        assertThatThrownBy(() ->
                        two[0].call(to, "twice", "ab", Duration.ofSeconds(5)).join())
                .hasMessageContaining("too many calls in flight");
        waiting.forEach(call -> assertThatThrownBy(call::join).isInstanceOf(CompletionException.class));
        assertThat(System.nanoTime() - began).isBetween(400_000_000L, 5_000_000_000L);
        assertThat(two[0].call(to, "twice", "cd", Duration.ofSeconds(5)).get(10, TimeUnit.SECONDS))
                .isEqualTo("cdcd");
    }

    @Test
    void memberOfAnotherInstallationIsIgnored() throws Exception {
        FleetMember[] two = startTwo();
        FleetMember other = join("other", "c");
        two[0].publish("mark", "1");
        eventually("the fleet still delivers published values", () -> "1".equals(published(two[1], two[0], "mark")));
        assertThat(other.view().rows()).hasSize(1);
        assertThat(two[0].view().rows()).hasSize(2);
    }

    @Test
    void foreignPeersAreDisconnectedAndChangeNothing() throws Exception {
        FleetMember[] two = startTwo();
        Address at = addresses.get(0);
        byte[] huge = ByteBuffer.allocate(1 << 20).putInt(60 << 20).array();
        byte[] garbage = ByteBuffer.allocate(1_004).putInt(1_000).array();
        List<Socket> stalledPeers = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            assertThat(isClosedAfter(at, huge))
                    .as("connection is closed after a frame length of 60 MiB")
                    .isTrue();
            assertThat(isClosedAfter(at, garbage))
                    .as("connection is closed after a frame that is not a message")
                    .isTrue();
            assertThat(isClosedAfter(at, framed(unknownType())))
                    .as("connection is closed after a message with types that are not allowed")
                    .isTrue();
            // a peer that sends an incomplete frame and stalls
            Socket stalledPeer = new Socket(at.host(), at.port());
            stalledPeer.getOutputStream().write(0);
            stalledPeers.add(stalledPeer);
        }
        two[0].publish("mark", "2");
        eventually("the fleet still delivers published values", () -> "2".equals(published(two[1], two[0], "mark")));
        assertThat(status(two[1], two[0])).isEqualTo(MemberStatus.ALIVE);
        assertThat(two[0].view().rows()).hasSize(2);
        for (Socket stalledPeer : stalledPeers) {
            stalledPeer.close();
        }
    }

    /** Whether the other end closes the connection after receiving these bytes. */
    private static boolean isClosedAfter(Address at, byte[] bytes) throws IOException {
        try (Socket socket = new Socket(at.host(), at.port())) {
            socket.setSoTimeout(2_000);
            socket.getOutputStream().write(bytes);
            return socket.getInputStream().read() < 0;
        } catch (java.net.SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    private static byte[] framed(byte[] body) {
        return ByteBuffer.allocate(4 + body.length)
                .putInt(body.length)
                .put(body)
                .array();
    }

    private static byte[] unknownType() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (ObjectOutputStream out = new ObjectOutputStream(bytes)) {
            out.writeInt(1);
            out.writeUTF("q");
            out.writeUTF("sandstack/question");
            out.writeObject(new PriorityQueue<>(List.of("a", "b")));
        }
        return bytes.toByteArray();
    }

    @Test
    void onlyAllowedTypesAreRead() throws Exception {
        FilteredMessageCodec codec = new FilteredMessageCodec();
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        codec.serialize(Message.builder().qualifier("q").data("text").build(), bytes);
        assertThat(codec.deserialize(new ByteArrayInputStream(bytes.toByteArray()))
                        .<String>data())
                .isEqualTo("text");
        bytes.reset();
        codec.serialize(
                Message.builder()
                        .qualifier("q")
                        .data(new PriorityQueue<>(List.of("a")))
                        .build(),
                bytes);
        assertThatThrownBy(() -> codec.deserialize(new ByteArrayInputStream(bytes.toByteArray())))
                .hasMessage("message contains a type that is not allowed or exceeds a limit");
        assertThat(codec.rejectedCount()).isEqualTo(1);
    }

    @Test
    void laterProtocolVersionIsDistinguishedFromMalformedMessages() {
        assertThatThrownBy(() -> MessageJson.read("{\"v\":2,\"new\":[]}", FleetMessages.ProbeRequest.class))
                .hasMessage("unsupported protocol version 2, the latest supported one is 1");
        assertThatThrownBy(() -> MessageJson.read("{\"name\":1}", FleetMessages.ProbeRequest.class))
                .hasMessage("message body has no protocol version");
        assertThatThrownBy(() -> MessageJson.read("{\"v\":1,\"has\":\"x\"}", FleetMessages.ProbeRequest.class))
                .hasMessage("message body is not a ProbeRequest");
        assertThatThrownBy(() -> MessageJson.read("[[[[[[[[[[[[", FleetMessages.ProbeRequest.class))
                .hasMessageContaining("not a ProbeRequest");
        assertThatThrownBy(() -> MessageJson.read(17, FleetMessages.ProbeRequest.class))
                .hasMessage("message body is not text");
    }

    /** During an upgrade the next process of a relay becomes the member once the previous one has left. */
    @Test
    void nextProcessOfARelayJoinsOnceThePreviousOneHasLeft() throws Exception {
        FleetMember[] two = startTwo();
        FleetMember next = new FleetMember(
                new FleetFile(
                        "inst",
                        addresses.get(1),
                        "machine",
                        List.of(addresses.get(0).toString()),
                        Set.of(),
                        Map.of()),
                "b",
                "zone");
        members.add(next);
        next.startWhenAddressFree();
        two[0].publish("mark", "3");
        eventually("the fleet still delivers published values", () -> "3".equals(published(two[1], two[0], "mark")));
        assertThat(next.view().rows()).hasSize(1);
        two[1].close();
        eventually(
                "the next process is the member, and the previous one has left",
                () -> status(two[0], next) == MemberStatus.ALIVE && status(two[0], two[1]) == MemberStatus.LEFT);
        eventually("the next process owns the name", () -> next.view().ownsName());
    }

    @Test
    void addressInUseIsReportedInOneLine() throws Exception {
        FleetMember a = join("inst", "a");
        assertThat(a.view().rows()).hasSize(1);
        FleetMember second = new FleetMember(
                new FleetFile(
                        "inst", addresses.get(0), "m", List.of(addresses.get(0).toString()), Set.of(), Map.of()),
                "b",
                "z");
        assertThatThrownBy(second::start)
                .isInstanceOf(InvalidConfigurationException.class)
                .hasMessageContaining("fleet.toml: listen: cannot listen at " + addresses.get(0));
    }
}
