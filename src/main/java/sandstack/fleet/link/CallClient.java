package sandstack.fleet.link;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import sandstack.fleet.FleetMessages;
import sandstack.fleet.FleetMessages.CallRequest;
import sandstack.fleet.FleetMessages.CallResponse;
import sandstack.fleet.Incarnation;
import sandstack.fleet.MemberTable;

/**
 * Sends calls to other members. Calls in flight are bounded for each member and in total, and further calls fail at
 * once, so a slow member affects only the calls to itself. Methods may be called on any thread; calls complete on the
 * fleet's thread, except those that fail before they are sent.
 */
final class CallClient {
    private static final int MAX_CALLS_PER_MEMBER = 8;
    private static final int MAX_CALLS = 256;

    private final Incarnation self;
    private final ClusterClient clusterClient;
    private final MembershipViewHolder viewHolder;
    private final Map<String, AtomicInteger> callsByMember = new ConcurrentHashMap<>();
    private final AtomicInteger callsInFlight = new AtomicInteger();

    CallClient(Incarnation self, ClusterClient clusterClient, MembershipViewHolder viewHolder) {
        this.self = self;
        this.clusterClient = clusterClient;
        this.viewHolder = viewHolder;
    }

    /** See {@link FleetMember#call}. */
    CompletableFuture<String> call(String id, String kind, String body, Duration timeout) {
        Optional<Incarnation> target = viewHolder.view().rows().stream()
                .filter(row -> row.incarnation().id().equals(id) && row.status().isMember())
                .map(MemberTable.Row::incarnation)
                .findFirst();
        if (target.isEmpty()) {
            return CompletableFuture.failedFuture(new CallException(id, kind, "not a member"));
        }
        if (body.length() > FleetMember.MAX_BODY_LENGTH) {
            return CompletableFuture.failedFuture(new IllegalArgumentException(
                    "number of characters in the body exceeds " + FleetMember.MAX_BODY_LENGTH));
        }
        AtomicInteger callsToMember = callsByMember.computeIfAbsent(id, ignored -> new AtomicInteger());
        if (!acquire(callsToMember)) {
            return CompletableFuture.failedFuture(new CallException(id, kind, "too many calls in flight"));
        }
        CallRequest request = new CallRequest(FleetMessages.PROTOCOL_VERSION, self.id(), kind, body);
        return clusterClient
                .request(target.get(), Qualifiers.CALL_REQUEST, MessageJson.write(request), timeout)
                .handle((response, failure) -> {
                    release(id, callsToMember);
                    return result(id, kind, response, failure);
                });
    }

    private boolean acquire(AtomicInteger callsToMember) {
        if (callsToMember.incrementAndGet() <= MAX_CALLS_PER_MEMBER && callsInFlight.incrementAndGet() <= MAX_CALLS) {
            return true;
        }
        if (callsToMember.getAndDecrement() <= MAX_CALLS_PER_MEMBER) {
            callsInFlight.decrementAndGet();
        }
        return false;
    }

    private void release(String id, AtomicInteger callsToMember) {
        callsInFlight.decrementAndGet();
        if (callsToMember.decrementAndGet() == 0) {
            callsByMember.remove(id, callsToMember);
        }
    }

    private static String result(String id, String kind, String response, Throwable failure) {
        if (failure != null) {
            throw new CallException(id, kind, String.valueOf(failure.getMessage()));
        }
        try {
            CallResponse result = MessageJson.read(response, CallResponse.class);
            if (result.error() != null) {
                throw new CallException(id, kind, result.error());
            }
            return result.body();
        } catch (MalformedFleetMessageException e) {
            throw new CallException(id, kind, "response rejected: " + e.getMessage());
        }
    }
}
