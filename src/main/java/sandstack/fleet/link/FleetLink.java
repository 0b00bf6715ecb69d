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
import sandstack.fleet.FleetMessages.Answer;
import sandstack.fleet.FleetMessages.Call;
import sandstack.fleet.FleetMessages.Question;
import sandstack.fleet.FleetMessages.Result;
import sandstack.fleet.FleetMessages.Spread;
import sandstack.fleet.Incarnation;
import sandstack.fleet.MemberStatus;
import sandstack.fleet.MemberTable;
import sandstack.fleet.Membership;
import sandstack.fleet.QuorumState;

/**
 * This relay as a member: carries out what {@link Membership} decides over the library's transport. Owns one thread, on
 * which the membership lives and on which nothing ever waits, and the library's few. Whoever reads {@link #view} gets
 * the last one, at most {@link #SHOWN_EVERY} old; calls and answers are bounded in number, size and time.
 */
public final class FleetLink implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger("sandstack.fleet");
    /** What peers do wrong is told here, with a bound on the lines; held, as the log's manager forgets who sets levels. */
    private static final List<Logger> LIBRARIES =
            List.of(Logger.getLogger("io.scalecube"), Logger.getLogger("reactor"), Logger.getLogger("io.netty"));

    static final String QUESTION = "sandstack/question";
    static final String SPREAD = "sandstack/spread";
    static final String CALL = "sandstack/call";
    static final String RESULT = "sandstack/result";
    /** The longest frame: the library's table of a thousand members fits. */
    private static final int LONGEST_FRAME = 256 * 1024;
    /** The longest body of a call or its answer, in characters. */
    public static final int LONGEST_BODY = 64 * 1024;

    private static final int MOST_PEERS = 2_048;
    private static final int MOST_WAITING = 2_000;
    /** Calls that may wait for one member, and for all together. */
    private static final int MOST_CALLS_EACH = 8;

    private static final int MOST_CALLS = 256;
    private static final Duration ANSWER_WITHIN = Duration.ofMillis(400);
    private static final long SHOWN_EVERY = 200_000;
    private static final long JOIN_SECONDS = 5;
    private static final long JOIN_AGAIN_MS = 500;
    /** Log lines about what is no word of ours, at most one in so long. */
    private static final long WARN_EVERY = 10_000_000;
    /** A card is asked for again at the next sync; a question that a cut holds back must not keep that from happening. */
    private static final int CARD_WITHIN = 500;

    private static final int PING_EVERY = 500;
    private static final int PING_WITHIN = 300;
    private static final int ASK_OTHERS = 3;
    /** The library's own detector; its suspicion lasts this many intervals times the logarithm of the members. */
    private static final int SUSPICION = 3;

    private static final int SYNC_EVERY = 2_000;

    /** What a member does with another's calls of one kind. On the fleet's thread: it must not wait. */
    public interface Handler {
        /** Returns the answer, or fails it with a short reason. */
        CompletableFuture<String> handle(String from, String body);
    }

    private final FleetFile file;
    private final Incarnation self;
    private final KnownTypes codec = new KnownTypes();
    private final ScheduledThreadPoolExecutor thread;
    private final Scheduler scheduler;
    private final Membership membership;
    private final Map<String, Handler> handlers = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> calling = new ConcurrentHashMap<>();
    private final AtomicInteger calls = new AtomicInteger();
    private final AtomicInteger waiting = new AtomicInteger();
    private final Map<String, MemberStatus> logged = new HashMap<>();
    private final CompletableFuture<Void> taken = new CompletableFuture<>();
    private volatile Cluster cluster;
    private volatile Membership.View view;
    private long shownAt;
    private long warnedAt = Long.MIN_VALUE / 2;
    private int warnings;

    /**
     * Creates a member that has not joined yet.
     *
     * @param name the relay's
     * @param zone name of the zone in which it runs
     */
    public FleetLink(FleetFile file, String name, String zone) {
        LIBRARIES.forEach(library -> library.setLevel(java.util.logging.Level.OFF));
        this.file = file;
        this.self = new Incarnation(
                UUID.randomUUID().toString().replace("-", "").substring(0, 16),
                name,
                zone,
                file.machine(),
                file.listen().toString());
        this.thread = new ScheduledThreadPoolExecutor(1, work -> {
            Thread t = new Thread(work, "fleet");
            t.setDaemon(true);
            return t;
        });
        thread.setRemoveOnCancelPolicy(true);
        thread.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        this.scheduler = Schedulers.fromExecutorService(thread, "fleet");
        this.membership = new Membership(self, file.relays(), now(), new SplittableRandom());
        this.view = membership.view(now());
    }

    private static long now() {
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
    public void startWhenFree() {
        Thread waits = new Thread(
                () -> {
                    try {
                        while (!thread.isShutdown() && !free()) {
                            Thread.sleep(JOIN_AGAIN_MS);
                        }
                        if (!thread.isShutdown()) {
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
    private boolean free() {
        try (ServerSocket probe = new ServerSocket(
                file.listen().port(), 1, InetAddress.getByName(file.listen().host()))) {
            return probe.isBound();
        } catch (IOException e) {
            return false;
        }
    }

    private void join() throws BadSettings {
        ClusterConfig config = ClusterConfig.defaultLanConfig()
                .memberId(self.id())
                .memberAlias(self.name())
                .externalHost(file.listen().host())
                .externalPort(file.listen().port())
                .metadata(MessageJson.text(new Card(FleetMessages.VERSION, self.name(), self.zone(), self.machine())))
                .metadataCodec(Card.CODEC)
                .metadataTimeout(CARD_WITHIN)
                .transport(t -> t.port(file.listen().port())
                        .connectTimeout(PING_WITHIN)
                        .messageCodec(codec)
                        .maxFrameLength(LONGEST_FRAME)
                        .addressMapper(at -> file.via().getOrDefault(at, at))
                        .transportFactory(new OneAddress(file.listen().host(), codec, MOST_PEERS)))
                .failureDetector(
                        f -> f.pingInterval(PING_EVERY).pingTimeout(PING_WITHIN).pingReqMembers(ASK_OTHERS))
                .membership(m -> m.namespace(file.installation())
                        .seedMembers(file.members())
                        .syncInterval(SYNC_EVERY)
                        .syncTimeout(PING_EVERY)
                        .suspicionMult(SUSPICION));
        try {
            new ClusterImpl(config)
                    .transportFactory(config.transportConfig()::transportFactory)
                    .handler(this::heardBy)
                    .start()
                    .toFuture()
                    .get(JOIN_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException e) {
            throw new BadSettings(FleetFile.FILE + ": listen: cannot listen at " + file.listen() + ": "
                    + e.getCause().getMessage());
        } catch (TimeoutException e) {
            throw new BadSettings(
                    FleetFile.FILE + ": listen: no start at " + file.listen() + " within " + JOIN_SECONDS + " s");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        thread.scheduleAtFixedRate(this::turn, 0, Membership.TURN, TimeUnit.MICROSECONDS);
        LOG.info(self.name() + " listens for members at " + file.listen() + ", as life " + self.id());
        try {
            taken.get(Membership.SETTLES + 2 * Membership.TURN, TimeUnit.MICROSECONDS);
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
    private ClusterMessageHandler heardBy(Cluster by) {
        cluster = by;
        return new Heard();
    }

    /** What comes from the library, on threads of its own: handed to the fleet's, and dropped where that is behind. */
    private final class Heard implements ClusterMessageHandler {
        @Override
        public void onGossip(Message message) {
            onMessage(message);
        }

        @Override
        public void onMessage(Message message) {
            if (waiting.incrementAndGet() > MOST_WAITING) {
                waiting.decrementAndGet();
                return;
            }
            later(() -> {
                waiting.decrementAndGet();
                received(message);
            });
        }

        @Override
        public void onMembershipEvent(MembershipEvent event) {
            later(() -> changed(event));
        }
    }

    private void later(Runnable what) {
        try {
            thread.execute(() -> {
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

    private void changed(MembershipEvent event) {
        Member member = event.member();
        if (event.isAdded()) {
            try {
                membership.added(life(member, event.newMetadata()), now());
            } catch (MessageJson.NotUnderstood | IllegalArgumentException e) {
                LOG.warning("a member at " + member.address() + " is not counted: " + e.getMessage());
            }
        } else if (event.isLeaving()) {
            membership.left(member.id(), now());
        } else if (event.isRemoved()) {
            membership.removed(member.id(), now());
        }
        show();
    }

    private static Incarnation life(Member member, ByteBuffer metadata) throws MessageJson.NotUnderstood {
        if (metadata == null) {
            throw new MessageJson.NotUnderstood("it does not say who it is");
        }
        Card card = MessageJson.read(Card.CODEC.deserialize(metadata), Card.class);
        if (card.name() == null || card.zone() == null || card.machine() == null) {
            throw new MessageJson.NotUnderstood("it does not say who it is");
        }
        return new Incarnation(member.id(), card.name(), card.zone(), card.machine(), member.address());
    }

    private void turn() {
        try {
            for (Incarnation member : membership.turn(now())) {
                ask(member);
            }
            FleetMessages.News news = membership.spread(now());
            if (news != null) {
                cluster.spreadGossip(Message.builder()
                                .qualifier(SPREAD)
                                .data(MessageJson.text(new Spread(FleetMessages.VERSION, self.id(), news, self)))
                                .build())
                        .subscribe(done -> {}, lost -> {});
            }
            if (membership.takenBy() != null) {
                taken.complete(null);
            }
            if (now() - shownAt >= SHOWN_EVERY) {
                show();
            }
        } catch (RuntimeException e) {
            warn("a turn failed: " + e);
        }
    }

    private void ask(Incarnation member) {
        exchange(member, QUESTION, MessageJson.text(membership.question(member)), ANSWER_WITHIN)
                .whenComplete((text, failed) -> {
                    try {
                        if (failed == null) {
                            membership.answered(member, MessageJson.read(text, Answer.class), now());
                            return;
                        }
                    } catch (MessageJson.NotUnderstood e) {
                        warn(member.name() + " at " + member.address() + " answers with " + e.getMessage());
                    }
                    membership.missed(member);
                });
    }

    /** One message there and one back, within this time; completes on the fleet's thread. */
    private CompletableFuture<String> exchange(Incarnation member, String what, String body, Duration within) {
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

    private void received(Message message) {
        try {
            if (QUESTION.equals(message.qualifier())) {
                Question question = MessageJson.read(message.data(), Question.class);
                answer(message, MessageJson.text(membership.answer(question, now())));
            } else if (SPREAD.equals(message.qualifier())) {
                Spread spread = MessageJson.read(message.data(), Spread.class);
                membership.toldOf(spread.id(), spread.life(), now());
                membership.heard(spread.id(), spread.news(), now());
            } else if (CALL.equals(message.qualifier())) {
                called(message, MessageJson.read(message.data(), Call.class));
            }
        } catch (MessageJson.NotUnderstood | IllegalArgumentException e) {
            warn("from " + message.sender() + " came " + e.getMessage());
        }
    }

    private void called(Message message, Call call) {
        Handler handler = handlers.get(String.valueOf(call.kind()));
        if (handler == null || call.body() == null || call.body().length() > LONGEST_BODY) {
            answer(
                    message,
                    MessageJson.text(new Result(
                            FleetMessages.VERSION,
                            null,
                            handler == null
                                    ? "nothing here takes calls of this kind"
                                    : "a body longer than " + LONGEST_BODY)));
            return;
        }
        handler.handle(call.from(), call.body())
                .whenComplete((body, failed) -> answer(
                        message,
                        MessageJson.text(new Result(
                                FleetMessages.VERSION,
                                body,
                                failed == null ? null : String.valueOf(failed.getMessage())))));
    }

    private void answer(Message asked, String body) {
        if (asked.sender() != null && asked.correlationId() != null) {
            cluster.transport()
                    .send(
                            asked.sender(),
                            Message.builder()
                                    .qualifier(RESULT)
                                    .correlationId(asked.correlationId())
                                    .data(body)
                                    .build())
                    .subscribe(done -> {}, lost -> {});
        }
    }

    /** One line in ten seconds, with how many were left out: a peer that sends rubbish fills no log. */
    private void warn(String what) {
        if (now() - warnedAt < WARN_EVERY) {
            warnings++;
            return;
        }
        LOG.warning(what + (warnings == 0 ? "" : "; " + warnings + " like it before"));
        warnedAt = now();
        warnings = 0;
    }

    private void show() {
        shownAt = now();
        QuorumState before = view.finding().ground();
        view = membership.view(shownAt);
        if (view.finding().ground() != before && !file.relays().isEmpty()) {
            LOG.info("the fleet is " + view.finding().ground() + " here: "
                    + view.finding().why());
        }
        for (MemberTable.Row line : view.lines()) {
            MemberStatus stood = logged.put(line.life().id(), line.standing());
            if (stood != line.standing() && !(stood == null && line.life().id().equals(self.id()))) {
                LOG.info("member " + line.life().name() + " ("
                        + line.life().id().substring(0, 8) + ") is "
                        + line.standing()
                        + (line.against().isEmpty() ? "" : ", not reached by " + String.join(", ", line.against())));
            }
        }
        if (logged.size() > view.lines().size()) {
            List<String> ids =
                    view.lines().stream().map(line -> line.life().id()).toList();
            logged.keySet().retainAll(ids);
        }
    }

    /** How all stood a moment ago, and what may be acted on now. Any thread; waits for nothing. */
    public Membership.View view() {
        return view.asOf(now());
    }

    /**
     * Staff say that a lost relay is gone for good. Completes on the fleet's thread, with why that cannot be, or null. Any
     * thread.
     */
    public CompletableFuture<String> takeOut(String name) {
        CompletableFuture<String> done = new CompletableFuture<>();
        later(() -> {
            done.complete(membership.takeOut(name, now()));
            show();
        });
        return done;
    }

    /** Changes a value that this member tells all; null takes it away. Any thread. */
    public void tell(String key, String value) {
        later(() -> membership.tell(key, value, now()));
    }

    /** Takes calls of this kind from now on. */
    public void on(String kind, Handler handler) {
        handlers.put(kind, handler);
    }

    /**
     * Asks one member, once. Completes on the fleet's thread, with the answer or an exception: no answer in time, too
     * many calls out, not a member, refused there. What was asked may have been done all the same where no answer came.
     */
    public CompletableFuture<String> call(String id, String kind, String body, Duration within) {
        Incarnation member = view.lines().stream()
                .filter(l -> l.life().id().equals(id) && l.standing().present())
                .map(MemberTable.Row::life)
                .findFirst()
                .orElse(null);
        if (member == null) {
            return CompletableFuture.failedFuture(new IllegalStateException(id + " is no member now"));
        }
        if (body.length() > LONGEST_BODY) {
            return CompletableFuture.failedFuture(new IllegalArgumentException("a body longer than " + LONGEST_BODY));
        }
        AtomicInteger each = calling.computeIfAbsent(id, i -> new AtomicInteger());
        if (each.incrementAndGet() > MOST_CALLS_EACH || calls.incrementAndGet() > MOST_CALLS) {
            // a slow member holds up nobody but those who call it
            if (each.getAndDecrement() <= MOST_CALLS_EACH) {
                calls.decrementAndGet();
            }
            return CompletableFuture.failedFuture(new IllegalStateException("too many calls are out"));
        }
        String text = MessageJson.text(new Call(FleetMessages.VERSION, self.id(), kind, body));
        return exchange(member, CALL, text, within).handle((answer, failed) -> {
            calls.decrementAndGet();
            if (each.decrementAndGet() == 0) {
                calling.remove(id, each);
            }
            try {
                Result result = failed != null
                        ? new Result(FleetMessages.VERSION, null, String.valueOf(failed.getMessage()))
                        : MessageJson.read(answer, Result.class);
                if (result.error() != null) {
                    throw new IllegalStateException(result.error());
                }
                return result.body();
            } catch (MessageJson.NotUnderstood e) {
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
        thread.shutdownNow();
    }
}
