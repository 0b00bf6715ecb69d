package sandstack.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import sandstack.capacity.Limits;
import sandstack.decisions.Decisions.Action;
import sandstack.decisions.Decisions.Attempt;
import sandstack.decisions.Decisions.AttemptEnded;
import sandstack.decisions.Decisions.ConnectRequest;
import sandstack.decisions.Decisions.Fail;
import sandstack.decisions.Decisions.Outcome;
import sandstack.decisions.Decisions.Processes;
import sandstack.decisions.Decisions.Refuse;
import sandstack.decisions.Decisions.Repeat;
import sandstack.decisions.Decisions.RequestClass;
import sandstack.decisions.Decisions.Scope;
import sandstack.decisions.Decisions.Settings;
import sandstack.decisions.Decisions.SettingsChanged;
import sandstack.settings.SettingsBuilder;

/** Settings that come while requests are under way. */
class NewSettingsTest {
    private static final RequestClass UNSAFE =
            new RequestClass(Rig.AIM, Rig.DEADLINE, 5, Repeat.UNSAFE, Scope.ALL, 0, Rig.MESSAGE);

    private static Settings withClass(Settings before, RequestClass more) {
        List<RequestClass> classes = new ArrayList<>(before.classes());
        classes.add(more);
        return SettingsBuilder.from(before).classes(classes).build();
    }

    private static Attempt attempt(List<Action> actions) {
        return actions.stream()
                .filter(Attempt.class::isInstance)
                .map(Attempt.class::cast)
                .findFirst()
                .orElse(null);
    }

    @Test
    void aClassThatAppearsIsServedAndKeepsItsStricterRule() {
        Settings before = Rig.settings().build();
        Brain brain = new Brain(before, Rig.PLATFORM, Limits.NONE, 3, 1_000_000);
        List<Decisions.ServerEntry> list = List.of(
                new Decisions.ServerEntry("s0", 0, 0, 0, 0, Decisions.Phase.READY, 1),
                new Decisions.ServerEntry("s1", 0, 0, 0, 0, Decisions.Phase.READY, 1));
        brain.on(new Decisions.ServerList(Decisions.ListKind.FULL, list), 1_000_000);
        ConnectRequest ask = new ConnectRequest("a", 1, 0, "k", null, 3_000_000, 0, false, false);
        assertThat(brain.on(ask, 1_000_000)).containsExactly(new Fail("a"));
        brain.on(new SettingsChanged(withClass(before, UNSAFE)), 1_000_000);
        Attempt sent =
                attempt(brain.on(new ConnectRequest("b", 1, 0, "k", null, 3_000_000, 0, false, false), 1_000_000));
        assertThat(sent).isNotNull();
        assertThat(brain.on(new AttemptEnded("b", 0, sent.server(), Outcome.RESET, false, 1000, null), 1_001_000))
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
                Attempt out = rig.attempts.get("a");
                rig.send(new AttemptEnded("a", i, out.server(), Outcome.CONNECT_FAILED, false, 1000, null));
            }
            rig.finish();
            assertThat(rig.tries.get("a"))
                    .as("from %d to %d", change[0], change[1])
                    .isLessThanOrEqualTo(change[2]);
            assertThat(rig.log).anyMatch(Refuse.class::isInstance);
        }
    }

    @Test
    void whatWasLearnedStays() {
        Rig rig = new Rig(Rig.settings().build(), 6);
        rig.list(2, 1);
        assertThat(rig.brain.avoids("s0")).isFalse();
        rig.request("a", "k");
        String at = rig.attempts.get("a").server();
        rig.send(new AttemptEnded("a", 0, at, Outcome.CONNECT_FAILED, false, 1000, null));
        assertThat(rig.brain.avoids(at)).isTrue();
        rig.send(new SettingsChanged(withClass(rig.settings, UNSAFE)));
        assertThat(rig.brain.avoids(at)).isTrue();
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
        rig.send(new Processes(processes));
        rig.restart("s0");
        for (int i = 0; i < 60; i++) {
            rig.advance(50_000);
            rig.request("r" + i, "k" + i);
        }
        return (int) rig.attempts.values().stream()
                .filter(a -> a.server().equals("s0"))
                .count();
    }
}
