package sandstack.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import sandstack.fleet.FleetMessages.Answer;
import sandstack.fleet.FleetMessages.News;
import sandstack.fleet.FleetMessages.Question;

/**
 * One member's part in knowing the others: puts the library's word, own questions and the words of others together, and
 * says whom to ask next. Decides nothing about requests of clients.
 *
 * <p><b>Failure model.</b> Members crash and restart with or without their disk, stop for any time and go on, are slow;
 * links lose, delay, cut one way or both. Members do not lie; what is no word of ours is refused before it comes here.
 * <b>Promised:</b> the values of a member that others hold are values that it told, the later never before the earlier;
 * a member is called {@link MemberStatus#PARTLY} and not lost while anyone reaches it and says so; of two processes that
 * start with one name at most one is told that the name is its own, as long as they reach each other when they start.
 * <b>Not promised:</b> that all hold the same view at one moment, or that a name has one holder across a cut: what
 * needs that needs one order, and this has none.
 *
 * <p>One thread; a turn costs O(members), {@link #view} O(members squared).
 */
public final class Membership {
    /** Turns come this often; one that comes much later was slept through. */
    public static final long TURN = 100_000;

    static final long SLEPT = 10 * TURN;
    /** So long after its first turn a life that heard of no namesake holds its name. */
    public static final long SETTLES = 1_500_000;

    static final long SPREAD_EVERY = 500_000;

    /** How all stand, and what they tell, at one moment. */
    public record View(
            Incarnation self,
            List<MemberTable.Row> lines,
            Map<String, MemberValues.Held> told,
            boolean settled,
            Set<String> unreached,
            QuorumAssessment finding,
            long at) {
        /** The same, with what may be acted on at this moment. */
        public View asOf(long now) {
            return new View(self, lines, told, settled, unreached, finding.asOf(now), at);
        }
    }

    /** What a member tells of the relays that staff state, and of those that staff took out. */
    static final String STATED = "relays";

    static final String OUT = "out";

    private final MemberTable roster;
    private final ReachabilityProbe reach;
    private final MemberValues board;
    private final QuorumTracker grounds;
    /** Of the first turn; -1 before it. */
    private long began = -1;

    private News mine;
    private long lastTurn;
    private long spread;
    private long spreadAt = Long.MIN_VALUE / 2;
    private boolean settled;
    private String takenBy;

    /** Where staff have not said which relays there are. */
    public Membership(Incarnation self, long now, RandomGenerator chance) {
        this(self, Set.of(), now, chance);
    }

    /**
     * Creates a membership that has met no other member yet.
     *
     * @param relays names of all relays that there are, as staff state them
     */
    public Membership(Incarnation self, Set<String> relays, long now, RandomGenerator chance) {
        grounds = new QuorumTracker(relays, self.name(), now);
        roster = new MemberTable(self, now);
        reach = new ReachabilityProbe(chance);
        board = new MemberValues(self.id());
        lastTurn = now;
        mine = new News(0, Map.of(), Set.of(), Set.of());
        if (!relays.isEmpty()) {
            tell(STATED, grounds.statedAs(), now);
        }
    }

    /** The library has this life for a member. */
    public void added(Incarnation life, long now) {
        roster.added(life, now);
        membersChanged();
    }

    /**
     * A life tells of itself through others: the library meets it only by a word with it, drawn once in a while, and two
     * that started behind a cut met late. Whoever is reached by others is asked.
     */
    public void toldOf(String id, Incarnation life, long now) {
        if (life != null && life.id().equals(id) && roster.toldOf(life, now)) {
            membersChanged();
        }
    }

    /** It said that it goes. */
    public void left(String id, long now) {
        roster.left(id, now);
        membersChanged();
    }

    /** The library gave it up. */
    public void removed(String id, long now) {
        roster.removed(id, now);
        membersChanged();
    }

    private void membersChanged() {
        reach.members(roster.others());
        // one that comes back from behind a cut is asked for all that it tells
        board.keep(roster.others());
        reachChanged();
    }

    private void reachChanged() {
        Set<String> reached = reach.reached();
        Set<String> unreached = reach.unreached();
        if (!reached.equals(mine.reached()) || !unreached.equals(mine.unreached())) {
            say(mine.values(), reached, unreached);
        }
        roster.says(roster.self().id(), reached, unreached);
    }

    private void say(Map<String, String> values, Set<String> reached, Set<String> unreached) {
        mine = new News(mine.number() + 1, values, reached, unreached);
    }

    /**
     * Changes a value that this member tells all; null takes it away.
     *
     * @throws IllegalArgumentException where it is too long, or there are too many
     */
    public void tell(String key, String value, long now) {
        if (board.tell(key, value, now)) {
            say(board.state(roster.self().id()).values(), mine.reached(), mine.unreached());
        }
    }

    /** Whom to ask now. */
    public List<Incarnation> turn(long now) {
        if (now - lastTurn > SLEPT) {
            // others may have waited for this process in vain; nothing follows about them
            reach.slept();
            grounds.stoodStill(now - lastTurn, now);
        }
        lastTurn = now;
        began = began < 0 ? now : began;
        settled |= takenBy == null && now - began >= SETTLES;
        List<Incarnation> ask = new ArrayList<>();
        reach.due(now).forEach(id -> ask.add(roster.life(id)));
        return ask;
    }

    /** What to ask this member. */
    public Question question(Incarnation of) {
        return new Question(
                FleetMessages.VERSION,
                roster.self().id(),
                roster.self().name(),
                board.state(of.id()).number(),
                settled);
    }

    /** What to answer. */
    public Answer answer(Question question, long now) {
        namesake(question.from(), question.name(), question.settled());
        return new Answer(
                FleetMessages.VERSION,
                roster.self().id(),
                roster.self().name(),
                question.has() < mine.number() ? mine : null,
                settled);
    }

    /** A member answered. */
    public void answered(Incarnation asked, Answer answer, long now) {
        if (!answer.id().equals(asked.id())) {
            // another life answers at its address: this one is gone, whatever the library still waits for
            missed(asked);
            return;
        }
        namesake(answer.id(), answer.name(), answer.settled());
        boolean changed = reach.answered(asked.id());
        grounds.answered(asked.id());
        heard(asked.id(), answer.news(), now);
        if (changed) {
            reachChanged();
        }
    }

    /** What a member tells, by whatever way: one that this one does not reach is heard of through others. */
    public void heard(String id, News news, long now) {
        if (news != null
                && roster.present(id)
                && board.heard(id, new MemberValues.State(news.number(), news.values()), now)) {
            roster.says(id, news.reached(), news.unreached());
            // whom the library gave up comes back by the word of one who reaches it, and goes with that
            reach.members(roster.others());
        }
    }

    /** What is new here and has to be spread now; null where nothing is. What changes often is spread once a while. */
    public News spread(long now) {
        if (spread == mine.number() || now - spreadAt < SPREAD_EVERY) {
            return null;
        }
        spread = mine.number();
        spreadAt = now;
        return mine;
    }

    /** A question to this member had no answer in time. */
    public void missed(Incarnation asked) {
        if (reach.missed(asked.id())) {
            reachChanged();
        }
    }

    /** Of two lives of one name that live, the one that holds it keeps it; of two that start, the lower id. */
    private void namesake(String id, String name, boolean holds) {
        if (!settled
                && takenBy == null
                && name.equals(roster.self().name())
                && !id.equals(roster.self().id())
                && (holds || id.compareTo(roster.self().id()) < 0)) {
            takenBy = id;
        }
    }

    /** The id of the life that holds this one's name; null where it is its own, or nobody has said so. */
    public String takenBy() {
        return takenBy;
    }

    /** Whether this life holds its name. */
    public boolean settled() {
        return settled;
    }

    /** How all stand now. */
    public View view(long now) {
        Map<String, MemberValues.Held> told = new HashMap<>();
        List<MemberTable.Row> lines = roster.lines(now);
        for (MemberTable.Row line : lines) {
            MemberValues.Held h = board.held(line.life().id());
            if (h != null && line.standing().present()) {
                told.put(line.life().id(), h);
            }
        }
        Map<String, String> stated = new HashMap<>();
        told.forEach((id, h) -> stated.put(id, h.state().values().getOrDefault(STATED, "")));
        QuorumAssessment finding = grounds.look(lines, reach.reached(), stated, out(lines, now), now);
        return new View(roster.self(), lines, Map.copyOf(told), settled, reach.unreached(), finding, now);
    }

    /** Whom staff have taken out, at any relay that is heard of. One that lives counts again, and is told no longer. */
    private Set<String> out(List<MemberTable.Row> lines, long now) {
        Set<String> present = new HashSet<>();
        Set<String> out = new TreeSet<>(outBy(roster.self().id()));
        for (MemberTable.Row line : lines) {
            if (line.standing().present()) {
                present.add(line.life().name());
                out.addAll(outBy(line.life().id()));
            }
        }
        out.removeIf(name -> present.contains(name) || !grounds.states(name));
        String text = String.join(",", out);
        if (text.length() <= MemberValues.LONGEST) {
            // whoever hears of it tells it too: it outlasts the relay at which staff said it
            tell(OUT, text.isEmpty() ? null : text, now);
        }
        return out;
    }

    private Set<String> outBy(String id) {
        String text = board.state(id).values().getOrDefault(OUT, "");
        return text.isEmpty() ? Set.of() : Set.of(text.split(","));
    }

    /** Staff say that this relay is gone for good; returns why that cannot be, or null where it is done. */
    public String takeOut(String name, long now) {
        View view = view(now);
        boolean present = view.lines().stream()
                .anyMatch(line ->
                        line.life().name().equals(name) && line.standing().present());
        String before = board.state(roster.self().id()).values().getOrDefault(OUT, "");
        String after = before.isEmpty() ? name : before + "," + name;
        if (!grounds.states(name)) {
            return name + " is not among the relays that staff state";
        } else if (present) {
            return name + " is not lost: stop it first";
        } else if (!view.finding().allows(GuardedOperation.OfStaff.TAKE_OUT)) {
            return "this relay is " + view.finding().ground() + " ("
                    + view.finding().why() + "); ask one that is not";
        } else if (after.length() > MemberValues.LONGEST) {
            return "too many are out; correct the file of each relay";
        }
        tell(OUT, after, now);
        return null;
    }
}
