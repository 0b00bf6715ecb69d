package sandstack.decisions;

import java.util.Optional;
import java.util.OptionalLong;
import sandstack.capacity.RejectionReason;
import sandstack.decisions.BalancerAction.StartAttempt;
import sandstack.decisions.BalancerEvent.AttemptEnded;
import sandstack.decisions.BalancerEvent.ConnectRequested;
import sandstack.decisions.BalancerEvent.ConnectionAdopted;
import sandstack.decisions.BalancerEvent.ConnectionEstablished;
import sandstack.decisions.TrackedRequest.State;

/**
 * Moves each request through its states: admitted or rejected on arrival, waiting, attempted at a server, established,
 * ended. The rules are in other classes: {@link LoadShedder}, {@link ServerPicker}, {@link RetryPolicy},
 * {@link AttemptTimeoutPolicy}, {@link CapacityEvidence} and {@link RequestCompletion}. Confined to the thread of the
 * load balancer. A placement costs as much as {@link ServerPicker#pick}, everything else O(1).
 */
final class RequestLifecycle {
    private final BalancerContext context;
    private final EndpointTable endpoints;
    private final ConnectionTracker connections;
    private final LoadShedder shedder;
    private final ServerPicker picker;
    private final RequestTable requests;
    private final RetryBackoff retryBackoff;
    private final RetryPolicy retryPolicy;
    private final RequestCompletion completion;
    private final SetupTimeTracker setupTimes = new SetupTimeTracker();
    private final AttemptTimeoutPolicy attemptTimeoutPolicy;
    private final CapacityEvidence capacityEvidence;

    RequestLifecycle(
            BalancerContext context,
            EndpointTable endpoints,
            ConnectionTracker connections,
            LoadShedder shedder,
            ServerPicker picker,
            RequestTable requests) {
        this.context = context;
        this.endpoints = endpoints;
        this.connections = connections;
        this.shedder = shedder;
        this.picker = picker;
        this.requests = requests;
        retryBackoff = new RetryBackoff(context);
        retryPolicy = new RetryPolicy(context, retryBackoff);
        completion = new RequestCompletion(context, requests, retryBackoff, retryPolicy);
        attemptTimeoutPolicy = new AttemptTimeoutPolicy(context, endpoints, setupTimes);
        capacityEvidence = new CapacityEvidence(context);
    }

    /** Sheds, rejects, delays or places a new request. */
    void onArrived(ConnectRequested event) {
        TrackedRequest request = new TrackedRequest(event, context.settings());
        RejectionReason reachedLimit = requests.reachedLimit(event.group());
        requests.add(request);
        if (shedder.shouldShed(request)) {
            completion.rejectWithBackoff(request, RejectionReason.SHED);
            return;
        }
        if (reachedLimit != null) {
            completion.reject(request, reachedLimit);
            return;
        }
        OptionalLong firstAttemptMicros = retryPolicy.drawFirstAttemptMicros(request);
        if (firstAttemptMicros.isPresent()) {
            waitUntil(request, firstAttemptMicros.getAsLong());
            return;
        }
        place(request);
    }

    /** Tracks a connection that another relay or process has established. */
    void onAdopted(ConnectionAdopted event, ServerState server) {
        TrackedRequest request = new TrackedRequest(event.request(), context.settings());
        request.onAdopted(server);
        requests.add(request);
        markEstablished(request);
    }

    /** Picks a server and starts an attempt there. If there is none, rejects the request or schedules a retry. */
    void place(TrackedRequest request) {
        request.state = State.WAITING;
        ServerState server = picker.pick(request);
        // the summary covers the servers examined by the pick above
        RejectionReason noCandidateReason = picker.candidateSummary().rejectionReason(request.event.classIndex());
        if (server != null) {
            startAttempt(request, server);
        } else if (noCandidateReason != null) {
            // a retry would find the same servers, so the client gets its Retry-After immediately
            completion.rejectWithBackoff(request, noCandidateReason);
        } else {
            retryOrReject(request);
        }
    }

    private void startAttempt(TrackedRequest request, ServerState server) {
        long remainingMicros = request.event.deadlineMicros() - context.nowMicros();
        if (!retryPolicy.mayAttempt(request)) {
            // the deadline may have passed or the deduplication window ended while the request waited for its retry
            completion.fail(request);
            return;
        }
        request.onAttemptStarted(server, context.nowMicros());
        server.estimate.onAttemptStarted();
        server.setupLimiter.takeToken();
        server.slowStartBudget.onSent(context.nowMicros());
        server.outlierDetector.onAttemptStarted();
        context.addAction(new StartAttempt(
                request.event.requestId(), server.id, attemptTimeoutPolicy.timeoutMicros(request, remainingMicros)));
    }

    private void waitUntil(TrackedRequest request, long dueMicros) {
        request.state = State.WAITING;
        context.scheduleTimer(request, dueMicros);
    }

    /**
     * Schedules a retry within the client's next backoff interval. If no attempts or too little time is left, gives the
     * final answer now: rejected, or failed if a retry by the client might execute the request a second time.
     */
    private void retryOrReject(TrackedRequest request) {
        long retryMicros = retryPolicy.drawRetryMicros(request);
        Optional<RejectionReason> giveUpReason = retryPolicy.giveUpReason(request, retryMicros);
        if (giveUpReason.isPresent()) {
            completion.reject(request, giveUpReason.get());
        } else {
            waitUntil(request, retryMicros);
        }
    }

    void onEstablished(ConnectionEstablished event) {
        TrackedRequest request = requests.get(event.requestId());
        if (request == null || request.state != State.ATTEMPTING) {
            return;
        }
        setupTimes.onEstablished(event.setupMicros());
        request.server.estimate.onAttemptEnded();
        markEstablished(request);
        OutlierDetector outlierDetector = request.server.outlierDetector;
        outlierDetector.onServed(request);
        if (outlierDetector.hasFailures()) {
            context.scheduleTimer(request, outlierDetector.trialEndMicros());
        }
    }

    private void markEstablished(TrackedRequest request) {
        request.onEstablished(context.nowMicros());
        connections.onEstablished(request, shedder.loadOf(request));
    }

    void onAttemptEnded(AttemptEnded event) {
        TrackedRequest request = requests.get(event.requestId());
        if (request == null || request.server == null || !request.isLatestAttempt(event.attempt())) {
            onStaleAttemptEnded(event);
            return;
        }
        request.server.outlierDetector.onAttemptEnded();
        if (request.state == State.ESTABLISHED) {
            onConnectionEnded(request, event);
        } else {
            onAttemptFailed(request, event);
        }
    }

    private void onStaleAttemptEnded(AttemptEnded event) {
        ServerState server = endpoints.get(event.serverId());
        if (server != null) {
            server.outlierDetector.onAttemptEnded();
            capacityEvidence.onStaleAttemptEnded(server);
        }
    }

    private void onConnectionEnded(TrackedRequest request, AttemptEnded event) {
        retryBackoff.clearAfterLongConnection(request);
        if (event.outcome() == AttemptOutcome.RESET) {
            request.server.outlierDetector.recordFailure();
            connections.onClosed(request);
            capacityEvidence.onConnectionReset(request.server);
            // counts as a failed placement; otherwise clients of a full fleet would reconnect without a backoff
            retryBackoff.recordFailure(request.clientKey);
        }
        if (event.requestFinished()) {
            requests.remove(request);
        } else {
            completion.fail(request);
        }
    }

    private void onAttemptFailed(TrackedRequest request, AttemptEnded event) {
        AttemptOutcome outcome = event.outcome();
        capacityEvidence.onAttemptFailed(request.server, outcome);
        if (event.requestFinished()) {
            // there is no retry, so the failure counts against the server even if a shared dependency is slow
            request.server.outlierDetector.onAttemptFailed(request, outcome);
            requests.remove(request);
            return;
        }
        connections.onClosed(request);
        if (outcome == AttemptOutcome.TIMEOUT) {
            setupTimes.onTimeout(event.elapsedMicros(), request.requestClass.deadlineMicros());
        }
        if (outcome != AttemptOutcome.TIMEOUT || !setupTimes.isSharedDependencySlow()) {
            request.server.outlierDetector.onAttemptFailed(request, outcome);
        }
        request.onAttemptFailed(outcome);
        retryOrAnswer(request, outcome);
    }

    private void retryOrAnswer(TrackedRequest request, AttemptOutcome outcome) {
        // the latest pick may have been for another request, but scarcity is a state of the fleet
        if (outcome == AttemptOutcome.REJECTED && picker.candidateSummary().isScarce()) {
            completion.rejectWithBackoff(request, RejectionReason.FULL);
        } else if (!retryPolicy.mayAttempt(request)) {
            completion.fail(request);
        } else {
            retryOrReject(request);
        }
    }
}
