package sandstack.measure;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;
import sandstack.standin.ShopClient;
import sandstack.standin.ShopClient.Happened;
import sandstack.standin.StandInLoop;

/**
 * Stand-in clients that arrive at random, stay for a while and leave: a load that does not wait for answers. Lives on
 * its loop's thread; its counts are read there.
 */
final class OpenLoopLoad {
    private static final long PATIENCE = 3_000_000;
    private static final long MOST_MICROS = 60_000_000;

    private final StandInLoop yard;
    private final SplittableRandom chance;
    private final List<Integer> ports;
    private final int groups;
    private final Set<ShopClient> standing = new LinkedHashSet<>();
    private final Histogram refusedAfter = new Histogram(MOST_MICROS, 3);
    private final Histogram setUp = new Histogram(MOST_MICROS, 3);
    private final Histogram lines = new Histogram(MOST_MICROS, 3);
    private double perSecond;
    private double life;
    private long talkEvery;
    private long lateAfter = Long.MAX_VALUE;
    private boolean arriving;
    private long asked;
    private long served;
    private long refused;
    private long failed;
    private long lost;
    private long moved;
    private long late;

    /**
     * Creates a load without clients.
     *
     * @param groups how many groups clients belong to; the first is the largest
     */
    OpenLoopLoad(StandInLoop yard, long seed, List<Integer> ports, int groups) {
        this.yard = yard;
        this.chance = new SplittableRandom(seed);
        this.ports = ports;
        this.groups = groups;
    }

    /** What was counted until now. */
    record Count(
            long asked,
            long served,
            long refused,
            long failed,
            long lost,
            long moved,
            int standing,
            long refusedP99,
            long refusedMost,
            long setUpP99,
            long lines,
            long late) {
        Count since(Count before) {
            return new Count(
                    asked - before.asked,
                    served - before.served,
                    refused - before.refused,
                    failed - before.failed,
                    lost - before.lost,
                    moved - before.moved,
                    standing,
                    refusedP99,
                    refusedMost,
                    setUpP99,
                    lines - before.lines,
                    late - before.late);
        }
    }

    Count count() {
        return new Count(
                asked,
                served,
                refused,
                failed,
                lost,
                moved,
                standing.size(),
                refusedAfter.getValueAtPercentile(99),
                refusedAfter.getMaxValue(),
                setUp.getValueAtPercentile(99),
                lines.getTotalCount(),
                late);
    }

    /** Times of refusals from now on alone. */
    void forgetTimes() {
        refusedAfter.reset();
        setUp.reset();
    }

    /** Clients talk so often, and a line that takes longer than this is late. */
    void talks(long every, long lateFrom) {
        talkEvery = every;
        lateAfter = lateFrom;
    }

    /** From now on so many arrive a second and stay so many seconds in the mean; 0 stays for good. */
    void arrive(double rate, double meanLife) {
        perSecond = rate;
        life = meanLife;
        if (!arriving && rate > 0) {
            arriving = true;
            next();
        }
    }

    private double exponential() {
        return -Math.log(1 - chance.nextDouble());
    }

    private void next() {
        if (perSecond <= 0) {
            arriving = false;
            return;
        }
        yard.after(Math.max(1, (long) (exponential() / perSecond * 1e6)), () -> {
            next();
            one();
        });
    }

    /** One more client asks. */
    void one() {
        long number = ++asked;
        int group = (int) (groups * Math.pow(chance.nextDouble(), 2));
        String name =
                switch ((int) (number % 4)) {
                    case 0 -> "stock-check";
                    case 1 -> "catalogue-feed";
                    default -> "order-status";
                };
        new ShopClient(
                yard,
                ports.get((int) (number % ports.size())),
                "i" + number,
                "k" + number,
                "c=" + name + ",d=" + PATIENCE / 1000 + ",g=g" + group,
                PATIENCE,
                this::told);
    }

    private void told(ShopClient.Told told) {
        ShopClient client = told.client();
        if (told.what() != Happened.UP) {
            standing.remove(client);
        }
        switch (told.what()) {
            case UP -> up(client, told.after());
            case BUSY -> {
                refused++;
                refusedAfter.recordValue(Math.min(told.after(), MOST_MICROS));
            }
            case FAILED, SILENT -> failed++;
            case MOVED -> moved++;
            case LOST -> lost++;
            case LEFT -> {}
            default -> throw new IllegalStateException();
        }
    }

    private void up(ShopClient client, long took) {
        served++;
        setUp.recordValue(Math.min(took, MOST_MICROS));
        standing.add(client);
        if (life > 0) {
            yard.after((long) (exponential() * life * 1e6), client::leave);
        }
        if (talkEvery > 0) {
            client.talk(talkEvery, lasted -> {
                lines.recordValue(Math.min(lasted, MOST_MICROS));
                late += lasted > lateAfter ? 1 : 0;
            });
        }
    }

    /** All that stand leave. */
    void leave() {
        Set.copyOf(standing).forEach(ShopClient::leave);
    }
}
