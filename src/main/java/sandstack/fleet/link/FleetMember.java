package sandstack.fleet.link;

import io.scalecube.cluster.Cluster;
import io.scalecube.cluster.ClusterConfig;
import io.scalecube.cluster.ClusterImpl;
import io.scalecube.cluster.ClusterMessageHandler;
import io.scalecube.cluster.Member;
import io.scalecube.cluster.membership.MembershipEvent;
import io.scalecube.cluster.transport.api.Message;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Logger;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import sandstack.config.BadSettings;
import sandstack.config.FleetFile;
import sandstack.fleet.FleetMessages;
import sandstack.fleet.FleetMessages.CallRequest;
import sandstack.fleet.FleetMessages.CallResponse;
import sandstack.fleet.FleetMessages.ProbeRequest;
import sandstack.fleet.FleetMessages.ProbeResponse;
import sandstack.fleet.FleetMessages.StateGossip;
import sandstack.fleet.Incarnation;
import sandstack.fleet.MemberStatus;
import sandstack.fleet.MemberTable;
import sandstack.fleet.Membership;
import sandstack.fleet.QuorumState;

/**
 * This relay as a member: carries out what {@link Membership} decides over the library's transport. Owns one thread, on
 * which the membership lives and on which nothing ever waits, and the library's few. Whoever reads {@link #view} gets
 * the last one, at most {@link #VIEW_INTERVAL_MICROS} old; calls and answers are bounded in number, size and time.
 */
public final class FleetMember implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger("sandstack.fleet");
    /** What peers do wrong is told here, with a bound on the lines; held, as the log's manager forgets who sets levels. */
    private static final List<Logger> LIBRARY_LOGGERS =
            List.of(Logger.getLogger("io.scalecube"), Logger.getLogger("reactor"), Logger.getLogger("io.netty"));

    static final String PROBE_REQUEST = "sandstack/question";
    static final String STATE_GOSSIP = "sandstack/spread";
    static final String CALL_REQUEST = "sandstack/call";
    static final String RESPONSE = "sandstack/result";
    /** The longest frame: the library's table of a thousand members fits. */
    private static final int MAX_FRAME_BYTES = 256 * 1024;
    /** The longest body of a call or its answer, in characters. */
    public static final int MAX_BODY_LENGTH = 64 * 1024;

    private static final int MAX_PEERS = 2_048;
    private static final int MAX_QUEUED_MESSAGES = 2_000;
    /** Calls that may wait for one member, and for all together. */
    private static final int MAX_CALLS_PER_MEMBER = 8;

    private static final int MAX_CALLS = 256;
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(400);
    private static final long VIEW_INTERVAL_MICROS = 200_000;
    private static final long JOIN_TIMEOUT_SECONDS = 5;
    private static final long ADDRESS_RETRY_MILLIS = 500;
    /** Log lines about what is no word of ours, at most one in so long. */
    private static final long WARNING_INTERVAL_MICROS = 10_000_000;
    /** A card is asked for again at the next sync; a question that a cut holds back must not keep that from happening. */
    private static final int METADATA_TIMEOUT_MILLIS = 500;

    private static final int PING_INTERVAL_MILLIS = 500;
    private static final int PING_TIMEOUT_MILLIS = 300;
    private static final int INDIRECT_PINGS = 3;
    /** The library's own detector; its suspicion lasts this many intervals times the logarithm of the members. */
    private static final int SUSPICION_MULTIPLIER = 3;

    private static final int SYNC_INTERVAL_MILLIS = 2_000;

    /** What a member does with another's calls of one kind. On the fleet's thread: it must not wait. */
    public interface CallHandler {
        /** Returns the answer, or fails it with a short reason. */
        CompletableFuture<String> handle(String from, String body);
    }

    private final FleetFile fleetFile;
    private final Incarnation self;
    private final FilteredMessageCodec codec = new FilteredMessageCodec();
    private final ScheduledThreadPoolExecutor executor;
    private final Scheduler scheduler;
    private final Membership membership;
    private final Map<String, CallHandler> handlers = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> callsByMember = new ConcurrentHashMap<>();
    private final AtomicInteger callsInFlight = new AtomicInteger();
    private final AtomicInteger queuedMessages = new AtomicInteger();
    private final Map<String, MemberStatus> loggedStatus = new HashMap<>();
    private final CompletableFuture<Void> nameConflict = new CompletableFuture<>();
    private volatile Cluster cluster;
    private volatile Membership.View view;
    private long viewUpdatedAtMicros;
    private long lastWarningMicros = Long.MIN_VALUE / 2;
    private int suppressedWarnings;

    /**
     * Creates a member that has not joined yet.
     *
     * @param name the relay's
     * @param zone name of the zone in which it runs
     */
    public FleetMember(FleetFile fleetFile, String name, String zone) {
        LIBRARY_LOGGERS.forEach(library -> library.setLevel(java.util.logging.Level.OFF));
        this.fleetFile = fleetFile;
        this.self = new Incarnation(
                UUID.randomUUID().toString().replace("-", "").substring(0, 16),
                name,
                zone,
                fleetFile.machine(),
                fleetFile.listen().toString());
        this.executor = new ScheduledThreadPoolExecutor(1, work -> {
            Thread t = new Thread(work, "fleet");
            t.setDaemon(true);
            return t;
        });
        executor.setRemoveOnCancelPolicy(true);
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        this.scheduler = Schedulers.fromExecutorService(executor, "fleet");
        this.membership = new Membership(self, fleetFile.relays(), nowMicros(), new SplittableRandom());
        this.view = membership.view(nowMicros());
    }

    private static long nowMicros() {
        return System.nanoTime() / 1_000;
    }

    /**
     * Joins. Waits a few seconds at most, and for no member: where none answers, this one is alone until one does.
     *
     * @throws BadSettings where the address cannot be had, or a living process holds this name
     */
    public void start() throws BadSettings {
        try {
            join();
        } catch (BadSettings e) {
            close();
            throw e;
        }
    }

    /**
     * Joins once it can: two processes at an upgrade are one relay and one member, which the one before is until it has
     * left its address. Waits for nothing; meanwhile the view has this one alone.
     */
    public void startWhenAddressFree() {
        Thread waits = new Thread(
                () -> {
                    try {
                        while (!executor.isShutdown() && !addressFree()) {
                            Thread.sleep(ADDRESS_RETRY_MILLIS);
                        }
                        if (!executor.isShutdown()) {
                            start();
                        }
                    } catch (BadSettings e) {
                        // clients are served already, and go on being served
                        LOG.severe("is no member: " + e.getMessage());
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                "fleet-join");
        waits.setDaemon(true);
        waits.start();
    }

    /** Whether nobody listens at this member's address. */
    private boolean addressFree() {
        try (ServerSocket probe = new ServerSocket(
                fleetFile.listen().port(),
                1,
                InetAddress.getByName(fleetFile.listen().host()))) {
            return probe.isBound();
        } catch (IOException e) {
            return false;
        }
    }

    private void join() throws BadSettings {
        ClusterConfig config = ClusterConfig.defaultLanConfig()
                .memberId(self.id())
                .memberAlias(self.name())
                .externalHost(fleetFile.listen().host())
                .externalPort(fleetFile.listen().port())
                .metadata(MessageJson.write(
                        new MemberMetadata(FleetMessages.PROTOCOL_VERSION, self.name(), self.zone(), self.machine())))
                .metadataCodec(MemberMetadata.CODEC)
                .metadataTimeout(METADATA_TIMEOUT_MILLIS)
                .transport(t -> t.port(fleetFile.listen().port())
                        .connectTimeout(PING_TIMEOUT_MILLIS)
                        .messageCodec(codec)
                        .maxFrameLength(MAX_FRAME_BYTES)
                        .addressMapper(at -> fleetFile.via().getOrDefault(at, at))
                        .transportFactory(new SingleAddressTransportFactory(
                                fleetFile.listen().host(), codec, MAX_PEERS)))
                .failureDetector(f -> f.pingInterval(PING_INTERVAL_MILLIS)
                        .pingTimeout(PING_TIMEOUT_MILLIS)
                        .pingReqMembers(INDIRECT_PINGS))
                .membership(m -> m.namespace(fleetFile.installation())
                        .seedMembers(fleetFile.members())
                        .syncInterval(SYNC_INTERVAL_MILLIS)
                        .syncTimeout(PING_INTERVAL_MILLIS)
                        .suspicionMult(SUSPICION_MULTIPLIER));
        try {
            new ClusterImpl(config)
                    .transportFactory(config.transportConfig()::transportFactory)
                    .handler(this::handlerFor)
                    .start()
                    .toFuture()
                    .get(JOIN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException e) {
            throw new BadSettings(FleetFile.FILE + ": listen: cannot listen at " + fleetFile.listen() + ": "
                    + e.getCause().getMessage());
        } catch (TimeoutException e) {
            throw new BadSettings(FleetFile.FILE + ": listen: no start at " + fleetFile.listen() + " within "
                    + JOIN_TIMEOUT_SECONDS + " s");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        executor.scheduleAtFixedRate(this::tick, 0, Membership.TICK_MICROS, TimeUnit.MICROSECONDS);
        LOG.info(self.name() + " listens for members at " + fleetFile.listen() + ", as life " + self.id());
        try {
            nameConflict.get(Membership.NAME_CLAIM_MICROS + 2 * Membership.TICK_MICROS, TimeUnit.MICROSECONDS);
            throw new BadSettings(FleetFile.FILE + ": the name " + self.name()
                    + " is held by a member that lives; stop that one, or give this one a name of its own");
        } catch (TimeoutException e) {
            // nobody says so
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Others ask before the library calls its start done. */
    private ClusterMessageHandler handlerFor(Cluster by) {
        cluster = by;
        return new LibraryListener();
    }

    /** What comes from the library, on threads of its own: handed to the fleet's, and dropped where that is behind. */
    private final class LibraryListener implements ClusterMessageHandler {
        @Override
        public void onGossip(Message message) {
            onMessage(message);
        }

        @Override
        public void onMessage(Message message) {
            if (queuedMessages.incrementAndGet() > MAX_QUEUED_MESSAGES) {
                queuedMessages.decrementAndGet();
                return;
            }
            execute(() -> {
                queuedMessages.decrementAndGet();
                handleMessage(message);
            });
        }

        @Override
        public void onMembershipEvent(MembershipEvent event) {
            execute(() -> memberChanged(event));
        }
    }

    private void execute(Runnable what) {
        try {
            executor.execute(() -> {
                try {
                    what.run();
                } catch (RuntimeException e) {
                    warn("a turn failed: " + e);
                }
            });
        } catch (RejectedExecutionException e) {
            // this member has left
        }
    }

    private void memberChanged(MembershipEvent event) {
        Member member = event.member();
        if (event.isAdded()) {
            try {
                membership.memberAdded(incarnation(member, event.newMetadata()), nowMicros());
            } catch (MessageJson.MalformedMessageException | IllegalArgumentException e) {
                LOG.warning("a member at " + member.address() + " is not counted: " + e.getMessage());
            }
        } else if (event.isLeaving()) {
            membership.memberLeft(member.id(), nowMicros());
        } else if (event.isRemoved()) {
            membership.memberRemoved(member.id(), nowMicros());
        }
        updateView();
    }

    private static Incarnation incarnation(Member member, ByteBuffer metadata)
            throws MessageJson.MalformedMessageException {
        if (metadata == null) {
            throw new MessageJson.MalformedMessageException("it does not say who it is");
        }
        MemberMetadata card = MessageJson.read(MemberMetadata.CODEC.deserialize(metadata), MemberMetadata.class);
        if (card.name() == null || card.zone() == null || card.machine() == null) {
            throw new MessageJson.MalformedMessageException("it does not say who it is");
        }
        return new Incarnation(member.id(), card.name(), card.zone(), card.machine(), member.address());
    }

    private void tick() {
        try {
            for (Incarnation member : membership.tick(nowMicros())) {
                probe(member);
            }
            FleetMessages.MemberState news = membership.stateToGossip(nowMicros());
            if (news != null) {
                cluster.spreadGossip(Message.builder()
                                .qualifier(STATE_GOSSIP)
                                .data(MessageJson.write(
                                        new StateGossip(FleetMessages.PROTOCOL_VERSION, self.id(), news, self)))
                                .build())
                        .subscribe(done -> {}, lost -> {});
            }
            if (membership.nameOwnerId().isPresent()) {
                nameConflict.complete(null);
            }
            if (nowMicros() - viewUpdatedAtMicros >= VIEW_INTERVAL_MICROS) {
                updateView();
            }
        } catch (RuntimeException e) {
            warn("a turn failed: " + e);
        }
    }

    private void probe(Incarnation member) {
        sendRequest(member, PROBE_REQUEST, MessageJson.write(membership.probeRequest(member)), PROBE_TIMEOUT)
                .whenComplete((text, failed) -> {
                    try {
                        if (failed == null) {
                            membership.probeAnswered(member, MessageJson.read(text, ProbeResponse.class), nowMicros());
                            return;
                        }
                    } catch (MessageJson.MalformedMessageException e) {
                        warn(member.name() + " at " + member.address() + " answers with " + e.getMessage());
                    }
                    membership.probeTimedOut(member);
                });
    }

    /** One message there and one back, within this time; completes on the fleet's thread. */
    private CompletableFuture<String> sendRequest(Incarnation member, String what, String body, Duration within) {
        Message message = Message.builder()
                .qualifier(what)
                .correlationId(UUID.randomUUID().toString())
                .data(body)
                .build();
        return cluster.transport()
                .requestResponse(member.address(), message)
                .timeout(within, scheduler)
                .publishOn(scheduler)
                .map(answer -> String.valueOf((Object) answer.data()))
                .toFuture();
    }

    private void handleMessage(Message message) {
        try {
            if (PROBE_REQUEST.equals(message.qualifier())) {
                ProbeRequest question = MessageJson.read(message.data(), ProbeRequest.class);
                respond(message, MessageJson.write(membership.handleProbe(question, nowMicros())));
            } else if (STATE_GOSSIP.equals(message.qualifier())) {
                StateGossip spread = MessageJson.read(message.data(), StateGossip.class);
                membership.memberDiscovered(spread.id(), spread.incarnation(), nowMicros());
                membership.stateReceived(spread.id(), spread.state(), nowMicros());
            } else if (CALL_REQUEST.equals(message.qualifier())) {
                handleCall(message, MessageJson.read(message.data(), CallRequest.class));
            }
        } catch (MessageJson.MalformedMessageException | IllegalArgumentException e) {
            warn("from " + message.sender() + " came " + e.getMessage());
        }
    }

    private void handleCall(Message message, CallRequest call) {
        CallHandler handler = handlers.get(String.valueOf(call.kind()));
        if (handler == null || call.body() == null || call.body().length() > MAX_BODY_LENGTH) {
            respond(
                    message,
                    MessageJson.write(new CallResponse(
                            FleetMessages.PROTOCOL_VERSION,
                            null,
                            handler == null
                                    ? "nothing here takes calls of this kind"
                                    : "a body longer than " + MAX_BODY_LENGTH)));
            return;
        }
        handler.handle(call.callerId(), call.body())
                .whenComplete((body, failed) -> respond(
                        message,
                        MessageJson.write(new CallResponse(
                                FleetMessages.PROTOCOL_VERSION,
                                body,
                                failed == null ? null : String.valueOf(failed.getMessage())))));
    }

    private void respond(Message asked, String body) {
        if (asked.sender() != null && asked.correlationId() != null) {
            cluster.transport()
                    .send(
                            asked.sender(),
                            Message.builder()
                                    .qualifier(RESPONSE)
                                    .correlationId(asked.correlationId())
                                    .data(body)
                                    .build())
                    .subscribe(done -> {}, lost -> {});
        }
    }

    /** One line in ten seconds, with how many were left out: a peer that sends rubbish fills no log. */
    private void warn(String what) {
        if (nowMicros() - lastWarningMicros < WARNING_INTERVAL_MICROS) {
            suppressedWarnings++;
            return;
        }
        LOG.warning(what + (suppressedWarnings == 0 ? "" : "; " + suppressedWarnings + " like it before"));
        lastWarningMicros = nowMicros();
        suppressedWarnings = 0;
    }

    private void updateView() {
        viewUpdatedAtMicros = nowMicros();
        QuorumState before = view.quorum().state();
        view = membership.view(viewUpdatedAtMicros);
        if (view.quorum().state() != before && !fleetFile.relays().isEmpty()) {
            LOG.info("the fleet is " + view.quorum().state() + " here: "
                    + view.quorum().reason());
        }
        for (MemberTable.Row line : view.rows()) {
            MemberStatus stood = loggedStatus.put(line.incarnation().id(), line.status());
            if (stood != line.status()
                    && !(stood == null && line.incarnation().id().equals(self.id()))) {
                LOG.info("member " + line.incarnation().name() + " ("
                        + line.incarnation().id().substring(0, 8) + ") is "
                        + line.status()
                        + (line.unreachableFrom().isEmpty()
                                ? ""
                                : ", not reached by " + String.join(", ", line.unreachableFrom())));
            }
        }
        if (loggedStatus.size() > view.rows().size()) {
            List<String> ids =
                    view.rows().stream().map(line -> line.incarnation().id()).toList();
            loggedStatus.keySet().retainAll(ids);
        }
    }

    /** How all stood a moment ago, and what may be acted on now. Any thread; waits for nothing. */
    public Membership.View view() {
        return view.asOf(nowMicros());
    }

    /**
     * Staff say that a lost relay is gone for good. Completes on the fleet's thread, with why that cannot be, or null. Any
     * thread.
     */
    public CompletableFuture<Optional<String>> decommission(String name) {
        CompletableFuture<Optional<String>> done = new CompletableFuture<>();
        execute(() -> {
            done.complete(membership.decommission(name, nowMicros()));
            updateView();
        });
        return done;
    }

    /** Changes a value that this member tells all; null takes it away. Any thread. */
    public void publish(String key, String value) {
        execute(() -> membership.publish(key, value, nowMicros()));
    }

    /** Takes calls of this kind from now on. */
    public void registerHandler(String kind, CallHandler handler) {
        handlers.put(kind, handler);
    }

    /**
     * Asks one member, once. Completes on the fleet's thread, with the answer or an exception: no answer in time, too
     * many calls out, not a member, refused there. What was asked may have been done all the same where no answer came.
     */
    public CompletableFuture<String> call(String id, String kind, String body, Duration within) {
        Incarnation member = view.rows().stream()
                .filter(l -> l.incarnation().id().equals(id) && l.status().isMember())
                .map(MemberTable.Row::incarnation)
                .findFirst()
                .orElse(null);
        if (member == null) {
            return CompletableFuture.failedFuture(new IllegalStateException(id + " is no member now"));
        }
        if (body.length() > MAX_BODY_LENGTH) {
            return CompletableFuture.failedFuture(
                    new IllegalArgumentException("a body longer than " + MAX_BODY_LENGTH));
        }
        AtomicInteger each = callsByMember.computeIfAbsent(id, i -> new AtomicInteger());
        if (each.incrementAndGet() > MAX_CALLS_PER_MEMBER || callsInFlight.incrementAndGet() > MAX_CALLS) {
            // a slow member holds up nobody but those who call it
            if (each.getAndDecrement() <= MAX_CALLS_PER_MEMBER) {
                callsInFlight.decrementAndGet();
            }
            return CompletableFuture.failedFuture(new IllegalStateException("too many calls are out"));
        }
        String text = MessageJson.write(new CallRequest(FleetMessages.PROTOCOL_VERSION, self.id(), kind, body));
        return sendRequest(member, CALL_REQUEST, text, within).handle((answer, failed) -> {
            callsInFlight.decrementAndGet();
            if (each.decrementAndGet() == 0) {
                callsByMember.remove(id, each);
            }
            try {
                CallResponse result = failed != null
                        ? new CallResponse(FleetMessages.PROTOCOL_VERSION, null, String.valueOf(failed.getMessage()))
                        : MessageJson.read(answer, CallResponse.class);
                if (result.error() != null) {
                    throw new IllegalStateException(result.error());
                }
                return result.body();
            } catch (MessageJson.MalformedMessageException e) {
                throw new IllegalStateException("answered with " + e.getMessage());
            }
        });
    }

    /** Says that it goes, and goes. */
    @Override
    public void close() {
        if (cluster != null) {
            cluster.shutdown();
            try {
                cluster.onShutdown().toFuture().get(2, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (ExecutionException | TimeoutException e) {
                LOG.fine("the library did not end in time");
            }
        }
        executor.shutdownNow();
    }
}
