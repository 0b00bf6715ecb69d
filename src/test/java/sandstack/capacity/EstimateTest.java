package sandstack.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** What evidence makes of an estimate, on a simulated clock. */
class EstimateTest {
    private static final long SLOT = 20_000;
    private static final long LONGEST = SLOT << Bracket.MAX_N;

    private final SplittableRandom chance = new SplittableRandom(5);
    private final Capacity capacity = new Capacity(Stated.Book.EMPTY, SLOT, 1);
    private final Estimate server = capacity.unknown();
    private long now = 1_000_000_000;

    /** A server that really holds so many: sends where the estimate allows, returns how many were turned away. */
    private int offer(int sends, int holds) {
        int away = 0;
        for (int i = 0; i < sends; i++) {
            now += 10_000;
            if (!server.open(now)) {
                continue;
            }
            server.sent();
            server.back();
            if (server.standing() < holds) {
                server.stands(1, now, chance.nextDouble());
            } else {
                server.turnedAway(now, chance.nextDouble());
                away++;
            }
        }
        return away;
    }

    @Test
    void nothingKnownMeansRoom() {
        assertThat(offer(50_000, Integer.MAX_VALUE)).isZero();
        assertThat(server.standing()).isEqualTo(50_000);
        assertThat(server.fullness()).isZero();
        assertThat(server.use(40, 1)).isZero();
    }

    @Test
    void aCapIsFoundAndThenTriedAtIntervalsOnly() {
        for (int holds : new int[] {3, 50, 5_000}) {
            Estimate other = new Capacity(Stated.Book.EMPTY, SLOT, 1).unknown();
            int away = 0;
            for (int i = 0; i < 20_000; i++) {
                now += 10_000;
                if (other.open(now)) {
                    other.sent();
                    other.back();
                    if (other.standing() < holds) {
                        other.stands(1, now, chance.nextDouble());
                    } else {
                        other.turnedAway(now, chance.nextDouble());
                        away++;
                    }
                }
            }
            assertThat(other.standing()).isEqualTo(holds);
            // 200 s of offers 10 ms apart: an interval of 2^8 slots is 5 s long
            assertThat(away).as("turned away by a server of " + holds).isBetween(20, 60);
        }
    }

    @Test
    void aCapacityThatFallsAndReturnsIsFollowed() {
        offer(500, 200);
        assertThat(server.standing()).isEqualTo(200);
        // 74% are lost at once, newest first
        while (server.standing() > 52) {
            server.left(1);
            server.shed(now, chance.nextDouble());
        }
        assertThat(server.bound()).isEqualTo(52);
        assertThat(server.open(now)).isFalse();
        int away = offer(300, 52);
        assertThat(away).as("while it is small").isLessThan(12);
        int before = server.standing();
        offer(2_000, 200);
        assertThat(before).isEqualTo(52);
        assertThat(server.standing()).as("20 s after it returned").isEqualTo(200);
    }

    @Test
    void aBurstOfEvidenceIsOneFailure() {
        offer(200, 100);
        long drawn = 0;
        for (int i = 0; i < 60; i++) {
            server.left(1);
            server.shed(now, 0.99);
        }
        while (!server.open(now + drawn)) {
            drawn += 1_000;
        }
        assertThat(drawn).isLessThanOrEqualTo(2 * (SLOT << Bracket.MAX_N));
        assertThat(server.bound()).isEqualTo(server.standing());
    }

    @Test
    void whatIsStatedIsAStartAndNotATruth() {
        Capacity told = new Capacity(new Stated.Book(new Stated(0, 40, false, 0, 0), List.of()), SLOT, 2);
        Estimate stated = told.unknown();
        stated.listed(0, 2);
        for (int i = 0; i < 40; i++) {
            assertThat(stated.open(now)).isTrue();
            stated.sent();
            stated.back();
            stated.stands(1, now, chance.nextDouble());
        }
        assertThat(stated.bound()).as("40 a unit of rating, of two relays").isEqualTo(40);
        for (int i = 0; i < 20_000 && stated.standing() < 400; i++) {
            now += 10_000;
            if (stated.open(now)) {
                stated.sent();
                stated.back();
                stated.stands(1, now, chance.nextDouble());
            }
        }
        assertThat(stated.standing()).as("a server ten times as large").isEqualTo(400);
    }

    @Test
    void firmStatementsAreUsedAndOnlyLowered() {
        Capacity told = new Capacity(new Stated.Book(new Stated(1e6, 0, true, 1e5, 3), List.of()), SLOT, 3);
        Estimate stated = told.unknown();
        stated.listed(0, 1);
        for (int i = 0; i < 4; i++) {
            told.stands(told.mean());
            stated.stands(told.mean(), now, chance.nextDouble());
        }
        assertThat(stated.use(0, 1)).isCloseTo(0.4, org.assertj.core.data.Offset.offset(1e-9));
        assertThat(stated.use(2, 1)).isCloseTo(1.0, org.assertj.core.data.Offset.offset(1e-9));
        assertThat(stated.use(0, 0.5)).isCloseTo(0.8, org.assertj.core.data.Offset.offset(1e-9));
    }

    @Test
    void serversOfAKindTeachEachOther() {
        Estimate[] some = {capacity.unknown(), capacity.unknown(), capacity.unknown()};
        for (Estimate one : some) {
            one.listed(2, 1);
        }
        for (int i = 0; i < 30; i++) {
            some[0].stands(1, now, 0.5);
        }
        some[0].turnedAway(now, 0.5);
        for (int i = 0; i < 15; i++) {
            some[1].stands(1, now, 0.5);
        }
        assertThat(some[1].fullness())
                .as("half of what its sister held")
                .isCloseTo(0.5, org.assertj.core.data.Offset.offset(0.01));
        assertThat(some[1].open(now)).as("but closed by its own evidence alone").isTrue();
        Estimate otherKind = capacity.unknown();
        otherKind.listed(1, 1);
        otherKind.stands(1, now, 0.5);
        assertThat(otherKind.fullness()).isZero();
    }

    /** Whatever is told in whatever order: figures stay figures, and the server opens again. */
    @Property(tries = 300)
    void noStreamOfEvidenceBreaksAnEstimate(
            @ForAll @Size(max = 400) List<@IntRange(max = 9) Integer> what,
            @ForAll @DoubleRange(min = -1e300, max = 1e300) double load,
            @ForAll long seed,
            @ForAll @LongRange(max = 10_000_000) long pace) {
        SplittableRandom draws = new SplittableRandom(seed);
        Capacity all = new Capacity(
                seed % 2 == 0
                        ? Stated.Book.EMPTY
                        : new Stated.Book(new Stated(1e6, 3, seed % 3 == 0, 1e5, 3), List.of()),
                SLOT,
                3);
        Estimate e = all.unknown();
        e.listed((int) seed, load);
        long time = 0;
        double weight = Estimate.sane(load);
        for (int w : what) {
            time += pace;
            switch (w) {
                case 0 -> e.sent();
                case 1 -> e.back();
                case 2, 3 -> {
                    all.stands(weight);
                    e.stands(weight, time, draws.nextDouble());
                }
                case 4 -> {
                    all.left();
                    e.left(weight);
                }
                case 5 -> e.turnedAway(time, draws.nextDouble());
                case 6 -> e.shed(time, draws.nextDouble());
                case 7 -> e.late(time, draws.nextDouble());
                case 8 -> {
                    double told = Estimate.sane(draws.nextDouble() * load);
                    all.told(weight, told);
                    e.changed(weight, told);
                }
                default -> e.restarted();
            }
            assertThat(e.bound()).isGreaterThanOrEqualTo(0);
            assertThat(e.held()).isBetween(0.0, 1e15);
            assertThat(e.fullness()).isBetween(0.0, 1.0);
            assertThat(e.free()).isGreaterThanOrEqualTo(0);
            assertThat(e.use(3, 0.1)).isGreaterThanOrEqualTo(0).isNotNaN();
            assertThat(all.mean()).isPositive();
        }
        e.moot();
        assertThat(e.open(time + 2 * LONGEST)).as("tried again").isTrue();
    }
}
