package sandstack.measure;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import sandstack.standin.FeedServer;
import sandstack.standin.Machine;

/**
 * What relays that know nothing of their feed servers make of them: idle ones that tell nothing, a fleet whose caps
 * they have to find, and machines that a neighbour takes a part of.
 */
final class MeasureCapacity implements Measurement {
    /** Reason and attempts of a rejected request, as this build and earlier ones log it. */
    private static final Pattern REJECTED =
            Pattern.compile("(?:answer=REJECTED reason=|was answered REFUSED )([A-Z_]+)(?: retry_after_ms=| )[0-9]+"
                    + "(?: attempts=| after )([0-9]+)");

    /** No file of ours says anything. */
    private static final Map<String, String> KNOWS_NOTHING = Map.of();

    private static final List<String> ROOMY = List.of("-Xmx512m", "-XX:MaxDirectMemorySize=64m");

    @Override
    public List<Aim> run(Way way, Progress progress) throws Exception {
        List<Aim> aims = new ArrayList<>();
        idle(way, 100, aims, progress);
        idle(way, 1000, aims, progress);
        fleet(way, aims, progress);
        double here = neighbour(way, way.jar(), "", aims, progress);
        if (way.against() != null) {
            double there = neighbour(way, way.against(), ", other build", aims, progress);
            aims.add(Aim.atLeast("neighbour: lines in time against the other build", here / Math.max(there, 1), 1));
        }
        if (!way.quick()) {
            // last: its sockets keep so many ports busy for a minute that others would not get one
            idle(way, 9800, aims, progress);
        }
        return aims;
    }

    private static void pause(double seconds) throws InterruptedException {
        TimeUnit.MICROSECONDS.sleep((long) (seconds * 1e6));
    }

    /** Two idle feed servers that tell nothing; so many clients come and stay. */
    private static void idle(Way way, int clients, List<Aim> aims, Progress progress) throws Exception {
        try (Site site = new Site()) {
            site.server("box", 1, Machine.IDLE);
            site.server("box", 1, Machine.IDLE);
            // ten thousand connections are more than the platform's heap is meant for
            site.relays(way.jar(), 1, KNOWS_NOTHING, clients > 1000 ? ROOMY : List.of());
            OpenLoopLoad crowd = new OpenLoopLoad(site.yard(), way.seed(), site.ports(), 20);
            double rate = 700;
            for (int sent = 0; sent < clients; sent += 7) {
                int now = Math.min(7, clients - sent);
                site.yard().run(() -> {
                    for (int i = 0; i < now; i++) {
                        crowd.one();
                    }
                });
                pause(7 / rate);
            }
            OpenLoopLoad.Count count = settled(site, crowd);
            progress.say("idle, " + clients + " clients: " + count);
            aims.add(Aim.atLeast("idle: standing of " + clients, count.standing(), clients));
            aims.add(Aim.atMost("idle: refused of " + clients, count.refused() + count.failed(), 0));
        }
    }

    /** Waits until nobody waits for an answer. */
    private static OpenLoopLoad.Count settled(Site site, OpenLoopLoad crowd) throws InterruptedException {
        OpenLoopLoad.Count count = site.yard().on(crowd::count);
        for (int i = 0; i < 100 && count.served() + count.refused() + count.failed() < count.asked(); i++) {
            pause(0.05);
            count = site.yard().on(crowd::count);
        }
        return count;
    }

    /** Ten servers of two kinds with caps that nobody tells; three relays that share nothing. */
    private static void fleet(Way way, List<Aim> aims, Progress progress) throws Exception {
        try (Site site = new Site()) {
            int fits = 0;
            for (int i = 0; i < 10; i++) {
                int cap = 20 + i * 20;
                fits += cap;
                site.server(i % 2 == 0 ? "old-box" : "new-box", 1, Machine.IDLE.holding(cap, i % 3 == 0));
            }
            site.relays(way.jar(), 3, KNOWS_NOTHING, List.of("-Dsandstack.log=FINE"));
            OpenLoopLoad crowd = new OpenLoopLoad(site.yard(), way.seed(), site.ports(), 40);
            double life = way.quick() ? 3 : 10;
            double learn = way.quick() ? 5 : 20;
            double watch = way.quick() ? 5 : 20;
            offer(site, crowd, 0.8 * fits, life);
            pause(learn);
            OpenLoopLoad.Count before = site.yard().on(crowd::count);
            long shedBefore = shed(site);
            pause(watch);
            OpenLoopLoad.Count at80 = site.yard().on(crowd::count).since(before);
            long shed80 = shed(site) - shedBefore;
            progress.say("fleet at 80%: " + at80 + ", shed " + shed80);
            double answered = Math.max(1, at80.served() + at80.refused() + at80.failed());
            aims.add(Aim.atLeast("fleet at 80%: served share", at80.served() / answered, 0.99));
            aims.add(Aim.atMost("fleet at 80%: shed after the start", shed80, 0));
            offer(site, crowd, 1.5 * fits, life);
            pause(learn);
            site.yard().run(crowd::forgetTimes);
            before = site.yard().on(crowd::count);
            double stood = 0;
            int looks = (int) (watch * 4);
            for (int i = 0; i < looks; i++) {
                pause(0.25);
                stood += site.yard().on(() -> site.servers().stream()
                        .mapToInt(s -> s.books().standing())
                        .sum());
            }
            OpenLoopLoad.Count at150 = site.yard().on(crowd::count).since(before);
            progress.say("fleet at 150%: " + at150 + ", of " + fits + " fit; all refusals by cause and executions "
                    + causes(site.logs()));
            aims.add(Aim.atLeast("fleet at 150%: standing of what fits", stood / looks / fits, 0.9));
            aims.add(Aim.atMost("fleet at 150%: refused after, 99 in 100, ms", at150.refusedP99() / 1000.0, 50));
            aims.add(Aim.told("fleet at 150%: refused after at the most, ms", at150.refusedMost() / 1000.0));
            aims.add(Aim.told("fleet at 150%: failed", at150.failed()));
            aims.add(Aim.told("fleet at 150%: lost", at150.lost()));
        }
    }

    private static Map<String, Long> causes(List<String> logs) {
        Map<String, Long> causes = new TreeMap<>();
        for (String line : logs) {
            Matcher m = REJECTED.matcher(line);
            if (m.find()) {
                causes.merge(m.group(1) + " after " + m.group(2), 1L, Long::sum);
            }
        }
        return causes;
    }

    private static void offer(Site site, OpenLoopLoad crowd, double standing, double life) {
        site.yard().run(() -> crowd.arrive(standing / life, life));
    }

    private static long shed(Site site) {
        return site.yard()
                .on(() ->
                        site.servers().stream().mapToLong(s -> s.books().shed()).sum());
    }

    /** Two of six machines lose 74% to another program, for a while; returns how many lines were in time. */
    private static double neighbour(Way way, Path jar, String suffix, List<Aim> aims, Progress progress)
            throws Exception {
        try (Site site = new Site()) {
            for (int i = 0; i < 6; i++) {
                site.server("box", 1, Machine.IDLE.working(2, 2_000, 6_000));
            }
            site.relays(jar, 2, KNOWS_NOTHING, List.of());
            OpenLoopLoad crowd = new OpenLoopLoad(site.yard(), way.seed(), site.ports(), 30);
            site.yard().run(() -> crowd.talks(200_000, 150_000));
            offer(site, crowd, 240, 6);
            pause(way.quick() ? 4 : 10);
            OpenLoopLoad.Count before = site.yard().on(crowd::count);
            take(site, 0.74);
            pause(way.quick() ? 4 : 10);
            OpenLoopLoad.Count during = site.yard().on(crowd::count).since(before);
            take(site, 0);
            OpenLoopLoad.Count middle = site.yard().on(crowd::count);
            pause(way.quick() ? 3 : 10);
            OpenLoopLoad.Count after = site.yard().on(crowd::count).since(middle);
            progress.say("neighbour" + suffix + ": during " + during + ", after " + after);
            aims.add(Aim.told("neighbour: late share during" + suffix, part(during)));
            aims.add(Aim.told("neighbour: late share after" + suffix, part(after)));
            aims.add(Aim.told("neighbour: standing at the end" + suffix, after.standing()));
            double inTime = during.lines() + after.lines() - during.late() - after.late();
            aims.add(Aim.told("neighbour: lines in time" + suffix, inTime));
            return inTime;
        }
    }

    private static double part(OpenLoopLoad.Count count) {
        return count.late() / (double) Math.max(1, count.lines());
    }

    private static void take(Site site, double part) {
        site.yard().run(() -> {
            for (FeedServer server : site.servers().subList(0, 2)) {
                server.neighbour(part);
            }
        });
    }
}
