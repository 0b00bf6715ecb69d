package sandstack.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import sandstack.capacity.InstallationLimits;
import sandstack.decisions.BalancerAction.Fail;
import sandstack.decisions.BalancerAction.Reject;
import sandstack.decisions.BalancerAction.StartAttempt;
import sandstack.decisions.BalancerEvent.AttemptEnded;
import sandstack.decisions.BalancerEvent.ConnectRequested;
import sandstack.decisions.BalancerEvent.ProcessCountChanged;
import sandstack.decisions.BalancerEvent.SettingsChanged;
import sandstack.settings.BalancerSettingsBuilder;

/** Settings that come while requests are under way. */
class NewSettingsTest {
    private static final RequestClass UNSAFE = new RequestClass(
            Rig.AIM, Rig.DEADLINE, 5, Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL, 0, Rig.MESSAGE);

    private static BalancerSettings withClass(BalancerSettings before, RequestClass more) {
        List<RequestClass> classes = new ArrayList<>(before.classes());
        classes.add(more);
        return BalancerSettingsBuilder.from(before).classes(classes).build();
    }

    private static StartAttempt attempt(List<BalancerAction> actions) {
        return actions.stream()
                .filter(StartAttempt.class::isInstance)
                .map(StartAttempt.class::cast)
                .findFirst()
                .orElse(null);
    }

    @Test
    void aClassThatAppearsIsServedAndKeepsItsStricterRule() {
        BalancerSettings before = Rig.settings().build();
        LoadBalancer brain = new LoadBalancer(before, Rig.PLATFORM, InstallationLimits.NONE, 3, 1_000_000);
        List<EndpointEntry> list = List.of(
                new EndpointEntry("s0", 0, 0, 0, 0, EndpointState.READY, 1),
                new EndpointEntry("s1", 0, 0, 0, 0, EndpointState.READY, 1));
        brain.handle(new BalancerEvent.EndpointListUpdate(EndpointListKind.FULL, list), 1_000_000);
        ConnectRequested ask = new ConnectRequested("a", 1, 0, "k", null, 3_000_000, 0, false, false);
        assertThat(brain.handle(ask, 1_000_000)).containsExactly(new Fail("a"));
        brain.handle(new SettingsChanged(withClass(before, UNSAFE)), 1_000_000);
        StartAttempt sent = attempt(
                brain.handle(new ConnectRequested("b", 1, 0, "k", null, 3_000_000, 0, false, false), 1_000_000));
        assertThat(sent).isNotNull();
        assertThat(brain.handle(
                        new AttemptEnded("b", 0, sent.serverId(), AttemptOutcome.RESET, false, 1000, null), 1_001_000))
                .containsExactly(new Fail("b"));
    }

    @Test
    void aRequestUnderWayHasTheLowerNumberOfAttempts() {
        for (int[] change : new int[][] {{4, 2, 2}, {2, 4, 2}, {4, 4, 4}}) {
            Rig rig = new Rig(Rig.settings().attempts(change[0]).build(), 9);
            rig.list(9, 1);
            rig.request("a", "k");
            rig.send(new SettingsChanged(Rig.settings().attempts(change[1]).build()));
            for (int i = 0; i < change[2]; i++) {
                rig.advance(300_000);
                StartAttempt out = rig.attempts.get("a");
                rig.send(new AttemptEnded("a", i, out.serverId(), AttemptOutcome.CONNECT_FAILED, false, 1000, null));
            }
            rig.finish();
            assertThat(rig.tries.get("a"))
                    .as("from %d to %d", change[0], change[1])
                    .isLessThanOrEqualTo(change[2]);
            assertThat(rig.log).anyMatch(Reject.class::isInstance);
        }
    }

    @Test
    void whatWasLearnedStays() {
        Rig rig = new Rig(Rig.settings().build(), 6);
        rig.list(2, 1);
        assertThat(rig.brain.isEjected("s0")).isFalse();
        rig.request("a", "k");
        String at = rig.attempts.get("a").serverId();
        rig.send(new AttemptEnded("a", 0, at, AttemptOutcome.CONNECT_FAILED, false, 1000, null));
        assertThat(rig.brain.isEjected(at)).isTrue();
        rig.send(new SettingsChanged(withClass(rig.settings, UNSAFE)));
        assertThat(rig.brain.isEjected(at)).isTrue();
        rig.finish();
    }

    /** While one process takes over from another, both together may send a cold server what one may. */
    @Test
    void twoProcessesTogetherSendAColdServerNoMoreThanOneAlone() {
        int alone = 0;
        int together = 0;
        for (int seed = 0; seed < 20; seed++) {
            alone += sentCold(seed, 1);
            together += sentCold(seed, 2) + sentCold(seed + 100, 2);
        }
        assertThat(alone).isGreaterThan(40);
        assertThat((double) together).isBetween(alone * 0.7, alone * 1.2);
    }

    private static int sentCold(int seed, int processes) {
        Rig rig = new Rig(Rig.settings().instances(2).build(), seed);
        rig.list(2, 1);
        rig.send(new ProcessCountChanged(processes));
        rig.restart("s0");
        for (int i = 0; i < 60; i++) {
            rig.advance(50_000);
            rig.request("r" + i, "k" + i);
        }
        return (int) rig.attempts.values().stream()
                .filter(a -> a.serverId().equals("s0"))
                .count();
    }
}
