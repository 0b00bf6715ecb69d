package sandstack.faultinjection;

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

/** The quorum state of relays that run as real processes while they are partitioned, killed and paused. */
@Execution(ExecutionMode.CONCURRENT)
@Timeout(150)
class QuorumProcessesTest {
    private static final List<String> PROGRAM = List.of("-cp", System.getProperty("java.class.path"), "sandstack.Main");

    private ProcessFleet processes;

    private void startFleet(int size) throws IOException {
        processes = new ProcessFleet(PROGRAM, size, 1);
        processes.startAll();
        eventually("all members report the complete state", 40, () -> allHaveState(size, "WHOLE"));
    }

    @AfterEach
    void end() {
        processes.close();
    }

    private void eventually(String description, double timeoutSeconds, BooleanSupplier condition) {
        assertThat(ProcessFleet.awaitMicros(condition, timeoutSeconds))
                .as(description + "\n" + processes.logs())
                .isNotNegative();
    }

    private boolean allHaveState(int size, String state) {
        for (int i = 0; i < size; i++) {
            if (!hasState(i, state)) {
                return false;
            }
        }
        return true;
    }

    private boolean hasState(int member, String state) {
        JsonNode view = processes.member(member).view();
        return view != null && view.path("ground").path("is").asText().equals(state);
    }

    private void partition(List<Integer> left, List<Integer> right) {
        left.forEach(a -> right.forEach(b -> processes.partition(a, b)));
    }

    private void heal(List<Integer> left, List<Integer> right) {
        left.forEach(a -> right.forEach(b -> processes.heal(a, b)));
    }

    @Test
    void eachPartOfAPartitionedFleetReportsItsQuorumState() throws IOException {
        startFleet(5);
        partition(List.of(0, 1), List.of(2, 3, 4));
        eventually(
                "two are a minority and three a majority",
                30,
                () -> hasState(0, "FEW")
                        && hasState(1, "FEW")
                        && hasState(2, "MOST")
                        && hasState(3, "MOST")
                        && hasState(4, "MOST"));
        processes.partition(0, 1);
        processes.partition(2, 3);
        processes.partition(2, 4);
        eventually(
                "three isolated members and a minority of two",
                30,
                () -> hasState(0, "ALONE")
                        && hasState(1, "ALONE")
                        && hasState(2, "ALONE")
                        && hasState(3, "FEW")
                        && hasState(4, "FEW"));
        // healed in another order; there are never two majorities at the same time
        heal(List.of(2), List.of(0, 1));
        processes.heal(0, 1);
        eventually(
                "members 0, 1 and 2 are the majority",
                30,
                () -> hasState(0, "MOST") && hasState(1, "MOST") && hasState(2, "MOST") && hasState(3, "FEW"));
        processes.heal(2, 3);
        processes.heal(2, 4);
        heal(List.of(0, 1), List.of(3, 4));
        eventually("all members report the complete state after healing", 40, () -> allHaveState(5, "WHOLE"));
    }

    /**
     * The command waits in the pipe while the process is paused. Answered from the view before the pause, it would
     * report a quorum state that no longer holds.
     */
    @Test
    void aResumedMemberReportsUnknownInsteadOfItsOldQuorumState() throws Exception {
        startFleet(3);
        processes.pause(1);
        eventually("the other members are the majority", 30, () -> hasState(0, "MOST") && hasState(2, "MOST"));
        processes.member(1).sendCommand("fleet json");
        processes.resume(1);
        JsonNode first = processes.member(1).awaitJsonResponse();
        assertThat(first.path("ground").path("is").asText()).isEqualTo("UNSURE");
        assertThat(first.path("ground").path("why").asText()).contains("stood still for");
        eventually("all members report the complete state after the resume", 40, () -> allHaveState(3, "WHOLE"));
    }

    @Test
    void aDecommissionedLostRelayNoLongerCountsAnywhere() throws Exception {
        startFleet(4);
        processes.kill(2);
        processes.kill(3);
        eventually(
                "two of four members are a minority",
                40,
                () -> hasState(0, "FEW")
                        && hasState(1, "FEW")
                        && "LOST".equals(processes.memberStatuses(0).get("m3"))
                        && "LOST".equals(processes.memberStatuses(0).get("m2")));
        assertThat(processes.member(0).execute("fleet take-out m1"))
                .isEqualTo("not done: m1 is not lost: stop it first");
        assertThat(processes.member(0).execute("fleet take-out m9")).startsWith("not done: m9 is not among");
        assertThat(processes.member(0).execute("fleet take-out m3"))
                .startsWith("m3 is no longer counted. If it lives behind a cut");
        eventually(
                "two of three members are a majority in both views",
                20,
                () -> hasState(0, "MOST") && hasState(1, "MOST"));
        processes.start(3);
        eventually(
                "the restarted relay counts again and is reachable",
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
