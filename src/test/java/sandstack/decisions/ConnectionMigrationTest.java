package sandstack.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import sandstack.decisions.BalancerAction.Migrate;
import sandstack.decisions.BalancerAction.SetTimer;
import sandstack.decisions.BalancerEvent.ConnectionAdopted;
import sandstack.decisions.BalancerEvent.DelayReported;
import sandstack.decisions.BalancerEvent.EndpointListUpdate;
import sandstack.decisions.BalancerEvent.LoadReported;
import sandstack.decisions.BalancerEvent.TimerExpired;

/** Migration of connections off draining, overloaded and slow servers. */
class ConnectionMigrationTest {
    /** A feed server may drain without closing its connections, so the relay migrates them. */
    @Test
    void connectionsOfADrainingServerMigrateWithinAnInterval() {
        BalancerHarness harness = new BalancerHarness(BalancerHarness.settings().build(), 3);
        harness.listServers(6, 2);
        String server = harness.establish("r", "k");
        List<BalancerAction> actions = harness.send(new EndpointListUpdate(
                EndpointListKind.DELTA, List.of(new EndpointEntry(server, 0, 0, 0, 0, EndpointState.DRAINING, 1))));
        long wait = BalancerHarness.requestTimerMicros(actions);
        assertTrue(wait <= 64 * BalancerHarness.SLOT_MICROS + 1);
        List<BalancerAction> due = harness.loadBalancer.handle(
                new TimerExpired(((SetTimer) actions.get(0)).token()), harness.nowMicros + wait);
        assertEquals(List.of(new Migrate("r")), due);
    }

    /** Connections migrate off a server whose load exceeds its capacity, as off a slow one. */
    @Test
    void connectionsMigrateOffAnOverloadedServer() {
        BalancerHarness harness = new BalancerHarness(BalancerHarness.settings().build(), 3);
        harness.listServers(2, 2);
        String full = harness.establish("r", "k");
        harness.send(new LoadReported("r", 0, full, 1_500_000));
        boolean migrations = false;
        for (int i = 0; i < 20 && !migrations; i++) {
            harness.nowMicros += BalancerHarness.DEADLINE_MICROS / 2;
            migrations = harness.send(new EndpointListUpdate(EndpointListKind.DELTA, List.of()))
                    .contains(new Migrate("r"));
        }
        assertTrue(migrations);
    }

    @Test
    void connectionsOfASlowServerMigratePacedAndOnlyWhileItIsSlow() {
        BalancerHarness harness = new BalancerHarness(BalancerHarness.settings().build(), 4);
        harness.listServers(3, 1);
        for (int i = 0; i < 40; i++) {
            harness.send(new ConnectionAdopted(harness.connectRequest("c" + i, "c" + i), "s0"));
        }
        int migrations = 0;
        for (int second = 0; second < 3; second++) {
            for (BalancerAction a :
                    harness.send(new DelayReported("c0", 0, "s0", BalancerHarness.MESSAGE_OBJECTIVE_MICROS * 5))) {
                migrations += a instanceof Migrate ? 1 : 0;
            }
            harness.nowMicros += 1_000_000;
        }
        assertTrue(migrations > 0 && migrations < 30, migrations + " of 40 connections migrated in two seconds");
        assertTrue(harness.send(new DelayReported("c0", 0, "s0", BalancerHarness.MESSAGE_OBJECTIVE_MICROS / 2))
                .isEmpty());
    }
}
