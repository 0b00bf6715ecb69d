package sandstack.decisions;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.Collection;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import sandstack.decisions.BalancerAction.StartAttempt;
import sandstack.decisions.BalancerEvent.AttemptEnded;
import sandstack.decisions.BalancerEvent.ConnectRequested;
import sandstack.decisions.BalancerEvent.ConnectionEstablished;

/** The state that the load balancer keeps is bounded, whatever clients do. */
class MemoryBoundTest {
    @Test
    void memoryStaysBoundedOverALongRun() throws IllegalAccessException {
        BalancerHarness harness = new BalancerHarness(BalancerHarness.settings().build(), 9);
        harness.listServers(6, 2);
        Random random = new Random(9);
        int maxEntries = 0;
        for (int i = 0; i < 30_000; i++) {
            String id = "r" + i;
            harness.send(new ConnectRequested(
                    id,
                    0,
                    0,
                    "k" + i,
                    "g" + i % 500,
                    harness.nowMicros + BalancerHarness.DEADLINE_MICROS,
                    0,
                    false,
                    false));
            harness.advance(2_000);
            if (harness.attemptCounts.containsKey(id) && !harness.answeredRequests.contains(id)) {
                StartAttempt attempt = harness.latestAttempts.get(id);
                if (random.nextInt(10) < 7) {
                    harness.send(new ConnectionEstablished(id, 0, attempt.serverId(), 100));
                    harness.send(new AttemptEnded(id, 0, attempt.serverId(), AttemptOutcome.OK, true, 100, null));
                } else {
                    harness.send(new AttemptEnded(id, 0, attempt.serverId(), AttemptOutcome.REJECTED, true, 100, null));
                }
            }
            if (i % 1000 == 0) {
                maxEntries = Math.max(maxEntries, heldEntries(harness.loadBalancer));
            }
        }
        harness.advance(10 * BalancerHarness.DEADLINE_MICROS);
        assertTrue(
                heldEntries(harness.loadBalancer) < 5000,
                heldEntries(harness.loadBalancer) + " entries held at the end");
        assertTrue(maxEntries < 12_000, maxEntries + " entries held at most");
        // the backoff states of client keys fill up to their limit of 4,096 entries, so the total exceeds it
        assertTrue(
                maxEntries > 4_096,
                maxEntries + " entries held at most, too few to reach the limit of the backoff states");
    }

    /**
     * The number of entries in all maps and collections that the load balancer and its parts hold, at any depth.
     * Excludes settings, servers and requests.
     */
    private static int heldEntries(Object part, Set<Object> visited) throws IllegalAccessException {
        int count = 0;
        for (Field field : part.getClass().getDeclaredFields()) {
            field.setAccessible(true);
            boolean skipped =
                    Modifier.isStatic(field.getModifiers()) || field.getType().isPrimitive();
            Object value = skipped ? null : field.get(part);
            if (value instanceof Map<?, ?> map) {
                count += visited.add(value) ? map.size() : 0;
            } else if (value instanceof Collection<?> collection) {
                count += visited.add(value) ? collection.size() : 0;
            } else if (value != null && isPart(value) && visited.add(value)) {
                count += heldEntries(value, visited);
            }
        }
        return count;
    }

    private static boolean isPart(Object value) {
        return value.getClass().getPackage() == LoadBalancer.class.getPackage()
                && !(value instanceof BalancerSettings
                        || value instanceof ServerState
                        || value instanceof TrackedRequest);
    }

    private static int heldEntries(LoadBalancer loadBalancer) throws IllegalAccessException {
        return heldEntries(loadBalancer, Collections.newSetFromMap(new IdentityHashMap<>()));
    }
}
