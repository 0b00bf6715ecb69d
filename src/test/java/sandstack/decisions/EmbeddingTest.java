package sandstack.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import sandstack.capacity.Limits;
import sandstack.decisions.Decisions.Action;
import sandstack.decisions.Decisions.Attempt;
import sandstack.decisions.Decisions.AttemptEnded;
import sandstack.decisions.Decisions.ConnectRequest;
import sandstack.decisions.Decisions.Established;
import sandstack.decisions.Decisions.ListKind;
import sandstack.decisions.Decisions.Outcome;
import sandstack.decisions.Decisions.Phase;
import sandstack.decisions.Decisions.Repeat;
import sandstack.decisions.Decisions.RequestClass;
import sandstack.decisions.Decisions.Scope;
import sandstack.decisions.Decisions.ServerEntry;
import sandstack.decisions.Decisions.ServerList;
import sandstack.decisions.Decisions.SetTimer;
import sandstack.decisions.Decisions.Settings;
import sandstack.decisions.Decisions.TimerDue;
import sandstack.settings.SettingsBuilder;

/** The example of the README: one request through a failed attempt, back-off, placement and end. */
class EmbeddingTest {
    @Test
    void oneRequestFromArrivalToEnd() {
        RequestClass feed = new RequestClass(500_000, 2_000_000, 1, Repeat.SAFE, Scope.ALL, 0, 100_000);
        Settings settings = SettingsBuilder.of(List.of(feed))
                .instances(4)
                .maxAttempts(3)
                .connectTimeout(100_000)
                .retryAfter(true)
                .maxRetryAfter(2_000_000)
                .drainGrace(1_000_000)
                .coldFrom(0.3)
                .warmAfter(8_000_000)
                .tipMultiple(3)
                .tipAfter(2_000_000)
                .build();
        long now = 0;
        Brain brain = new Brain(settings, Rig.PLATFORM, Limits.NONE, 42, now);
        brain.on(
                new ServerList(
                        ListKind.FULL,
                        List.of(
                                new ServerEntry("a", 0, 0, 0, 0, Phase.READY, 1),
                                new ServerEntry("b", 0, 0, 0, 0, Phase.READY, 1))),
                now);

        ConnectRequest request = new ConnectRequest("r1", 0, 0, "client-7", null, now + 2_000_000, 0, false, false);
        Attempt first = (Attempt) brain.on(request, now).get(0);

        now += 5_000;
        SetTimer hold = (SetTimer)
                brain.on(new AttemptEnded("r1", 0, first.server(), Outcome.CONNECT_FAILED, false, 5_000, null), now)
                        .get(0);
        now += hold.after();
        Attempt second = (Attempt) brain.on(new TimerDue(hold.token()), now).get(0);
        assertTrue(!second.server().equals(first.server()), "the failed server is marked");

        brain.on(new Established("r1", 1, second.server(), 9_000), now + 9_000);
        now += 60_000_000;
        List<Action> last =
                brain.on(new AttemptEnded("r1", 1, second.server(), Outcome.OK, true, 60_000_000, null), now);
        assertEquals(List.of(), last);
    }
}
