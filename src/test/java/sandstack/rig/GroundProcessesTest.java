package sandstack.rig;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/** On what ground real relays find themselves while they are cut off, killed and paused. */
@Execution(ExecutionMode.CONCURRENT)
@Timeout(150)
class GroundProcessesTest {
    private static final List<String> PROGRAM = List.of("-cp", System.getProperty("java.class.path"), "sandstack.Main");

    private FleetRig rig;

    private void fleet(int size) throws IOException {
        rig = new FleetRig(PROGRAM, size, 1);
        rig.startAll();
        eventually("all are whole", 40, () -> all(size, "WHOLE"));
    }

    @AfterEach
    void end() {
        rig.close();
    }

    private void eventually(String what, double seconds, BooleanSupplier holds) {
        assertThat(FleetRig.until(holds, seconds)).as(what + "\n" + rig.logs()).isNotNegative();
    }

    private boolean all(int size, String ground) {
        for (int i = 0; i < size; i++) {
            if (!is(i, ground)) {
                return false;
            }
        }
        return true;
    }

    private boolean is(int i, String ground) {
        JsonNode view = rig.member(i).view();
        return view != null && view.path("ground").path("is").asText().equals(ground);
    }

    private void halves(List<Integer> left, List<Integer> right, boolean cut) {
        for (int a : left) {
            for (int b : right) {
                if (cut) {
                    rig.cut(a, b);
                } else {
                    rig.heal(a, b);
                }
            }
        }
    }

    @Test
    void fiveCutInTwoAndThreeThenInFourPartsKnowWhichPartTheyAre() throws IOException {
        fleet(5);
        halves(List.of(0, 1), List.of(2, 3, 4), true);
        eventually(
                "two are few and three are most",
                30,
                () -> is(0, "FEW") && is(1, "FEW") && is(2, "MOST") && is(3, "MOST") && is(4, "MOST"));
        rig.cut(0, 1);
        rig.cut(2, 3);
        rig.cut(2, 4);
        eventually(
                "one, one, one and two",
                30,
                () -> is(0, "ALONE") && is(1, "ALONE") && is(2, "ALONE") && is(3, "FEW") && is(4, "FEW"));
        // healed in another order, and meanwhile never two parts that are most
        halves(List.of(2), List.of(0, 1), false);
        rig.heal(0, 1);
        eventually(
                "three others are most now", 30, () -> is(0, "MOST") && is(1, "MOST") && is(2, "MOST") && is(3, "FEW"));
        rig.heal(2, 3);
        rig.heal(2, 4);
        halves(List.of(0, 1), List.of(3, 4), false);
        eventually("whole again", 40, () -> all(5, "WHOLE"));
    }

    /** The command waits in the pipe while the process stands still: it is answered by what was believed before. */
    @Test
    void whoStoodStillIsUnsureBeforeItActsOnAnythingItBelieved() throws Exception {
        fleet(3);
        rig.pause(1);
        eventually("the others go on as most", 30, () -> is(0, "MOST") && is(2, "MOST"));
        rig.member(1).ask("fleet json");
        rig.resume(1);
        JsonNode first = rig.member(1).answer();
        assertThat(first.path("ground").path("is").asText()).isEqualTo("UNSURE");
        assertThat(first.path("ground").path("why").asText()).contains("stood still for");
        eventually("whole again", 40, () -> all(3, "WHOLE"));
    }

    @Test
    void staffTakeALostRelayOutAtOneRelayAndAllCountAnew() throws Exception {
        fleet(4);
        rig.kill(2);
        rig.kill(3);
        eventually(
                "two of four are few",
                40,
                () -> is(0, "FEW")
                        && is(1, "FEW")
                        && "LOST".equals(rig.standings(0).get("m3"))
                        && "LOST".equals(rig.standings(0).get("m2")));
        assertThat(rig.member(0).say("fleet take-out m1")).isEqualTo("not done: m1 is not lost: stop it first");
        assertThat(rig.member(0).say("fleet take-out m9")).startsWith("not done: m9 is not among");
        assertThat(rig.member(0).say("fleet take-out m3"))
                .startsWith("m3 is no longer counted. If it lives behind a cut");
        eventually("two of three are most, at both", 20, () -> is(0, "MOST") && is(1, "MOST"));
        rig.start(3);
        eventually(
                "it counts again, and is reached",
                40,
                () -> is(0, "MOST")
                        && is(1, "MOST")
                        && is(3, "MOST")
                        && rig.member(0).view().path("ground").path("with").size() == 3);
    }
}
