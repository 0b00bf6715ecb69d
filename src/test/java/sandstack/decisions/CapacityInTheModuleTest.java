package sandstack.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import sandstack.capacity.InstallationLimits;
import sandstack.capacity.RejectionReason;
import sandstack.capacity.StatedCapacities;
import sandstack.decisions.BalancerAction.Reject;
import sandstack.decisions.BalancerAction.StartAttempt;
import sandstack.decisions.BalancerEvent.AttemptEnded;
import sandstack.decisions.BalancerEvent.ClientDisconnected;
import sandstack.decisions.BalancerEvent.ConnectRequested;
import sandstack.decisions.BalancerEvent.ConnectionEstablished;
import sandstack.decisions.BalancerEvent.LoadReported;

/** What the module makes of the evidence of its servers and of the limits of an installation. */
class CapacityInTheModuleTest {
    private static Rig rig(InstallationLimits limits, int servers) {
        Rig rig = new Rig(Rig.settings().classes(5, 1).build(), StatedCapacities.NONE, limits, 4);
        rig.list(servers, 1);
        return rig;
    }

    /** A client comes, and its connection stands; null where it was refused. */
    private static StartAttempt stand(Rig rig, String id, int requestClass, String group) {
        rig.now += 1_000;
        rig.send(new ConnectRequested(id, requestClass, 0, id, group, rig.now + Rig.DEADLINE, 0, false, false));
        StartAttempt a = rig.attempts.get(id);
        if (a != null) {
            rig.send(new ConnectionEstablished(id, 0, a.serverId(), 500));
        }
        return a;
    }

    /** Clients come until each of these servers has turned one away. */
    private static void fill(Rig rig, List<String> servers) {
        Set<String> full = new HashSet<>();
        for (int i = 0; !full.containsAll(servers); i++) {
            String id = "full" + i;
            rig.now += 1_000;
            rig.send(new ConnectRequested(id, 0, 0, id, "f" + i, rig.now + Rig.DEADLINE, 0, false, false));
            StartAttempt a = rig.attempts.get(id);
            if (a != null) {
                full.add(a.serverId());
                rig.send(new AttemptEnded(id, 0, a.serverId(), AttemptOutcome.REJECTED, false, 300, null));
                rig.send(new ClientDisconnected(id));
            }
        }
    }

    private static List<Reject> refusals(Rig rig) {
        return rig.log.stream()
                .flatMap(a -> a instanceof Reject r ? Stream.of(r) : Stream.empty())
                .toList();
    }

    @Test
    void serversThatTellNothingTakeWhoeverComes() {
        Rig rig = rig(InstallationLimits.NONE, 2);
        for (int i = 0; i < 1_000; i++) {
            assertThat(stand(rig, "r" + i, 0, "g" + i % 20)).as("client " + i).isNotNull();
        }
        assertThat(refusals(rig)).isEmpty();
    }

    @Test
    void whereEveryServerIsFullItIsSaidAtOnceAndWhenToComeAgain() {
        Rig rig = rig(InstallationLimits.NONE, 3);
        for (int i = 0; i < 60; i++) {
            stand(rig, "r" + i, 0, "g" + i);
        }
        fill(rig, List.of("s0", "s1", "s2"));
        int before = refusals(rig).size();
        List<String> late = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            rig.now += 100;
            String id = "late" + i;
            rig.send(new ConnectRequested(id, 0, 0, id, "h" + i, rig.now + Rig.DEADLINE, 0, false, false));
            StartAttempt a = rig.attempts.get(id);
            if (a != null) {
                rig.send(new AttemptEnded(id, 0, a.serverId(), AttemptOutcome.REJECTED, false, 300, null));
            }
            late.add(id);
        }
        assertThat(rig.answered).as("answered without any time passing").containsAll(late);
        assertThat(refusals(rig))
                .hasSize(before + 40)
                .allMatch(r -> r.reason() == RejectionReason.FULL && r.retryAfterMicros() > 0);
        long tried = late.stream().filter(rig.attempts::containsKey).count();
        assertThat(tried).as("one look at each server was enough").isLessThanOrEqualTo(6);
        // and one that leaves makes room for one
        rig.send(new AttemptEnded("r0", 0, rig.attempts.get("r0").serverId(), AttemptOutcome.OK, true, 1, null));
        rig.now += 2 * Rig.DEADLINE;
        assertThat(stand(rig, "next", 0, "g0")).isNotNull();
    }

    @Test
    void whatLittleIsFreeIsKeptForTheClassOfMoreWorth() {
        Rig rig = rig(InstallationLimits.NONE, 2);
        for (int i = 0; i < 200; i++) {
            stand(rig, "r" + i, 0, "g" + i);
        }
        fill(rig, List.of("s0", "s1"));
        rig.send(new AttemptEnded("r0", 0, rig.attempts.get("r0").serverId(), AttemptOutcome.OK, true, 1, null));
        assertThat(stand(rig, "light", 1, "x")).isNull();
        assertThat(refusals(rig).get(refusals(rig).size() - 1).reason()).isEqualTo(RejectionReason.RESERVED);
        assertThat(stand(rig, "worthy", 0, "x")).isNotNull();
    }

    @Test
    void limitsRefuseAtOnceAndByName() {
        Rig relay = rig(new InstallationLimits(5, 0, 0, 0), 2);
        for (int i = 0; i < 8; i++) {
            stand(relay, "r" + i, 0, null);
        }
        assertThat(refusals(relay)).hasSize(3).allMatch(r -> r.reason() == RejectionReason.RELAY_LIMIT);
        Rig group = rig(new InstallationLimits(0, 0, 2, 0), 2);
        for (int i = 0; i < 8; i++) {
            stand(group, "r" + i, 0, i < 4 ? "one" : "g" + i);
        }
        assertThat(refusals(group)).hasSize(2).allMatch(r -> r.reason() == RejectionReason.GROUP_LIMIT);
        Rig server = rig(new InstallationLimits(0, 3, 0, 0), 2);
        for (int i = 0; i < 8; i++) {
            stand(server, "r" + i, 0, null);
        }
        assertThat(refusals(server)).hasSize(2).allMatch(r -> r.reason() == RejectionReason.SERVER_LIMIT);
        Rig pace = rig(new InstallationLimits(0, 0, 0, 10), 2);
        for (int i = 0; i < 50; i++) {
            stand(pace, "r" + i, 0, null);
        }
        assertThat(refusals(pace))
                .as("50 in 50 ms, of 10 a second each")
                .hasSizeGreaterThan(45)
                .allMatch(r -> r.reason() == RejectionReason.SERVER_LIMIT);
    }

    @Test
    void loadsThatMakeNoSenseChangeNothing() {
        Rig rig = new Rig(Rig.settings().build(), 4);
        rig.list(2, 1);
        StartAttempt a = stand(rig, "r", 0, null);
        for (double load : new double[] {Double.NaN, -5, Double.POSITIVE_INFINITY, Double.NEGATIVE_INFINITY, 0}) {
            rig.send(new LoadReported("r", 0, a.serverId(), load));
        }
        rig.now += 2 * Rig.DEADLINE;
        assertThat(stand(rig, "next", 0, null)).isNotNull();
    }

    @Test
    void aServerThatFellAndCameBackIsNotHeldToWhatStoodWhenItFell() {
        Rig rig = rig(InstallationLimits.NONE, 1);
        for (int i = 0; i < 30; i++) {
            stand(rig, "r" + i, 0, null);
        }
        for (int i = 0; i < 30; i++) {
            rig.send(new AttemptEnded("r" + i, 0, "s0", AttemptOutcome.RESET, true, 1, null));
        }
        rig.restart("s0");
        rig.advance(10_000_000);
        for (int i = 0; i < 30; i++) {
            rig.advance(50_000);
            stand(rig, "n" + i, 0, null);
        }
        assertThat(refusals(rig)).noneMatch(r -> r.reason() == RejectionReason.FULL);
    }
}
