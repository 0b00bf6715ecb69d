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
class QuorumProcessesTest {
    private static final List<String> PROGRAM = List.of("-cp", System.getProperty("java.class.path"), "sandstack.Main");

    private FleetRig processes;

    private void startFleet(int size) throws IOException {
        processes = new FleetRig(PROGRAM, size, 1);
        processes.startAll();
        eventually("all are whole", 40, () -> allHaveState(size, "WHOLE"));
    }

    @AfterEach
    void end() {
        processes.close();
    }

    private void eventually(String what, double seconds, BooleanSupplier holds) {
        assertThat(FleetRig.until(holds, seconds))
                .as(what + "\n" + processes.logs())
                .isNotNegative();
    }

    private boolean allHaveState(int size, String ground) {
        for (int i = 0; i < size; i++) {
            if (!hasState(i, ground)) {
                return false;
            }
        }
        return true;
    }

    private boolean hasState(int i, String ground) {
        JsonNode view = processes.member(i).view();
        return view != null && view.path("ground").path("is").asText().equals(ground);
    }

    private void partitionOrHeal(List<Integer> left, List<Integer> right, boolean cut) {
        for (int a : left) {
            for (int b : right) {
                if (cut) {
                    processes.cut(a, b);
                } else {
                    processes.heal(a, b);
                }
            }
        }
    }

    @Test
    void eachPartOfAPartitionedFleetKnowsItsQuorumState() throws IOException {
        startFleet(5);
        partitionOrHeal(List.of(0, 1), List.of(2, 3, 4), true);
        eventually(
                "two are few and three are most",
                30,
                () -> hasState(0, "FEW")
                        && hasState(1, "FEW")
                        && hasState(2, "MOST")
                        && hasState(3, "MOST")
                        && hasState(4, "MOST"));
        processes.cut(0, 1);
        processes.cut(2, 3);
        processes.cut(2, 4);
        eventually(
                "one, one, one and two",
                30,
                () -> hasState(0, "ALONE")
                        && hasState(1, "ALONE")
                        && hasState(2, "ALONE")
                        && hasState(3, "FEW")
                        && hasState(4, "FEW"));
        // healed in another order, and meanwhile never two parts that are most
        partitionOrHeal(List.of(2), List.of(0, 1), false);
        processes.heal(0, 1);
        eventually(
                "three others are most now",
                30,
                () -> hasState(0, "MOST") && hasState(1, "MOST") && hasState(2, "MOST") && hasState(3, "FEW"));
        processes.heal(2, 3);
        processes.heal(2, 4);
        partitionOrHeal(List.of(0, 1), List.of(3, 4), false);
        eventually("whole again", 40, () -> allHaveState(5, "WHOLE"));
    }

    /** The command waits in the pipe while the process stands still: it is answered by what was believed before. */
    @Test
    void aResumedMemberIsUnknownBeforeItUsesItsOldView() throws Exception {
        startFleet(3);
        processes.pause(1);
        eventually("the others go on as most", 30, () -> hasState(0, "MOST") && hasState(2, "MOST"));
        processes.member(1).sendCommand("fleet json");
        processes.resume(1);
        JsonNode first = processes.member(1).awaitJsonResponse();
        assertThat(first.path("ground").path("is").asText()).isEqualTo("UNSURE");
        assertThat(first.path("ground").path("why").asText()).contains("stood still for");
        eventually("whole again", 40, () -> allHaveState(3, "WHOLE"));
    }

    @Test
    void aDecommissionedLostRelayNoLongerCountsAnywhere() throws Exception {
        startFleet(4);
        processes.kill(2);
        processes.kill(3);
        eventually(
                "two of four are few",
                40,
                () -> hasState(0, "FEW")
                        && hasState(1, "FEW")
                        && "LOST".equals(processes.standings(0).get("m3"))
                        && "LOST".equals(processes.standings(0).get("m2")));
        assertThat(processes.member(0).execute("fleet take-out m1"))
                .isEqualTo("not done: m1 is not lost: stop it first");
        assertThat(processes.member(0).execute("fleet take-out m9")).startsWith("not done: m9 is not among");
        assertThat(processes.member(0).execute("fleet take-out m3"))
                .startsWith("m3 is no longer counted. If it lives behind a cut");
        eventually("two of three are most, at both", 20, () -> hasState(0, "MOST") && hasState(1, "MOST"));
        processes.start(3);
        eventually(
                "it counts again, and is reached",
                40,
                () -> hasState(0, "MOST")
                        && hasState(1, "MOST")
                        && hasState(3, "MOST")
                        && processes
                                        .member(0)
                                        .view()
                                        .path("ground")
                                        .path("with")
                                        .size()
                                == 3);
    }
}
