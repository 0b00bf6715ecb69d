package sandstack.decisions;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sandstack.capacity.Capacity;
import sandstack.capacity.ColdBudget;
import sandstack.capacity.Limits;
import sandstack.capacity.Stated;
import sandstack.decisions.Decisions.Action;
import sandstack.decisions.Decisions.SetTimer;
import sandstack.decisions.Decisions.Settings;
import sandstack.random.SeededRandom;

/**
 * What the parts of the module share: settings, the time of the event, chance, the actions so far, and the
 * timers that wake requests. Owned by one {@link Brain}; one thread; all calls O(1).
 */
final class Frame {
    /** A first interval spans two slots; so many slots fit into the tightest set-up aim. */
    private static final int SLOTS_IN_AIM = 16;

    Settings set;
    final Capacity capacity;
    final Limits limits;
    final SeededRandom chance;
    long slot;
    /** Half of the shortest deadline: the unit of marks, and the pace of looks at the whole. */
    long markSlot;

    double tightMessage;
    ColdBudget.Rule cold;
    long now;
    /** Processes that are this instance together: they share what cold servers may be sent. */
    int processes = 1;

    List<Action> out = new ArrayList<>();
    private final Map<Long, Request> wakes = new LinkedHashMap<>();
    private long lastToken;

    Frame(Settings settings, Stated.Book book, Limits limits, long seed, long now) {
        this.limits = limits;
        this.chance = new SeededRandom(seed);
        this.now = now;
        use(settings);
        capacity = new Capacity(book, slot, settings.instances(), settings.sized());
    }

    /** These settings count from now on; what was learned under others stays. */
    void use(Settings settings) {
        set = settings;
        slot = Math.max(1, settings.tightestAim() / SLOTS_IN_AIM);
        markSlot = Math.max(1, settings.shortestDeadline() / 2);
        tightMessage = settings.tightestMessage();
        cold = new ColdBudget.Rule(set.tipMultiple(), set.tipAfter(), set.instances(), set.zones());
    }

    double uniform() {
        return chance.uniform();
    }

    /** Sets the one timer of a request; an older one says nothing any more. */
    void wake(Request r, long due) {
        wakes.remove(r.wake);
        r.wake = ++lastToken;
        wakes.put(r.wake, r);
        out.add(new SetTimer(Math.max(1, due - now), r.wake));
    }

    /** The request whose timer this was; null where it has another by now, or is over. */
    Request woken(long token) {
        return wakes.remove(token);
    }

    void letSleep(Request r) {
        wakes.remove(r.wake);
    }
}
