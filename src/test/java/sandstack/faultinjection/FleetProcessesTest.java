package sandstack.faultinjection;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/** Membership of relays that run as real processes, with faults injected between them. */
@Execution(ExecutionMode.CONCURRENT)
@Timeout(120)
class FleetProcessesTest {
    private static final List<String> PROGRAM = List.of("-cp", System.getProperty("java.class.path"), "sandstack.Main");

    private ProcessFleet processes;

    private void startFleet(int size) throws IOException {
        processes = new ProcessFleet(PROGRAM, size, 1);
        processes.startAll();
        eventually("all members report all members as alive", 30, processes::allAlive);
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

    private boolean reportsStatus(int observer, int subject, String status) {
        var statuses = processes.memberStatuses(observer);
        return statuses != null && status.equals(statuses.get(ProcessFleet.memberName(subject)));
    }

    @Test
    void aPartitionedPairIsPartiallyReachableUntilHealed() throws IOException {
        startFleet(5);
        processes.partition(1, 3);
        eventually("all members report both partially reachable", 15, () -> {
            for (int i = 0; i < 5; i++) {
                if (!reportsStatus(i, 1, "PARTLY") || !reportsStatus(i, 3, "PARTLY")) {
                    return false;
                }
            }
            return true;
        });
        assertThat(processes.memberEntry(0, "m3").path("against").toString()).isEqualTo("[\"m1\"]");
        assertThat(processes.memberEntry(0, "m2").path("standing").asText()).isEqualTo("ALIVE");
        processes.heal(1, 3);
        eventually("all members are alive after the link is healed", 15, processes::allAlive);
        assertThat(processes.logs()).doesNotContain("status=LOST");
    }

    @Test
    void aKilledMemberIsLostAStoppedOneHasLeftAndARestartIsANewIncarnation() throws Exception {
        startFleet(4);
        String firstIncarnation = processes.memberEntry(0, "m3").path("life").asText();
        processes.stop(2);
        eventually(
                "m2 has left",
                10,
                () -> reportsStatus(0, 2, "LEFT") && reportsStatus(1, 2, "LEFT") && reportsStatus(3, 2, "LEFT"));
        processes.kill(3);
        eventually("m3 is lost", 20, () -> reportsStatus(0, 3, "LOST") && reportsStatus(1, 3, "LOST"));
        processes.start(3);
        processes.start(2);
        eventually("all members report all members as alive again", 30, processes::allAlive);
        assertThat(processes.memberEntry(0, "m3").path("life").asText()).isNotEqualTo(firstIncarnation);
    }

    @Test
    void aRestartBeforeFailureDetectionTakesOverItsName() throws Exception {
        startFleet(3);
        String firstIncarnation = processes.memberEntry(0, "m2").path("life").asText();
        processes.kill(2);
        processes.start(2);
        eventually("a new incarnation of the same name is alive", 15, () -> {
            var entry = processes.memberEntry(0, "m2");
            return entry != null
                    && entry.path("standing").asText().equals("ALIVE")
                    && !entry.path("life").asText().equals(firstIncarnation);
        });
        assertThat(processes.member(2).isAlive()).isTrue();
    }

    @Test
    void aPausedMemberRejoinsAndReportsNoMemberAsUnreachable() throws Exception {
        startFleet(4);
        int loggedBefore = processes.member(1).log().size();
        processes.pause(1);
        eventually("m0 no longer reports m1 as alive", 20, () -> !reportsStatus(0, 1, "ALIVE"));
        eventually("m1 is lost", 20, () -> reportsStatus(0, 1, "LOST") && reportsStatus(2, 1, "LOST"));
        processes.resume(1);
        eventually("all members are alive after the resume", 20, processes::allAlive);
        // probes time out during the pause: the resumed member must not report others as unreachable because of them
        assertThat(processes
                        .member(1)
                        .log()
                        .subList(loggedBefore, processes.member(1).log().size()))
                .noneMatch(line -> line.matches(".*unreachable_from=(\\S+,)?m1(,.*)?"));
    }

    @Test
    void aOneWayPartitionIsPartialAndHalvesWithACommonMemberStayOneFleet() throws IOException {
        startFleet(5);
        processes.partitionOneWay(2, 4);
        eventually("m4 is partially reachable", 15, () -> reportsStatus(0, 4, "PARTLY"));
        processes.heal(2, 4);
        eventually("all members are alive after the one-way partition is healed", 15, processes::allAlive);
        // only m4 reaches both halves
        for (int left : List.of(0, 1)) {
            for (int right : List.of(2, 3)) {
                processes.partition(left, right);
            }
        }
        eventually(
                "the halves report each other partially reachable",
                20,
                () -> reportsStatus(0, 2, "PARTLY")
                        && reportsStatus(0, 3, "PARTLY")
                        && reportsStatus(2, 0, "PARTLY")
                        && reportsStatus(3, 1, "PARTLY")
                        && reportsStatus(4, 0, "PARTLY"));
        assertThat(reportsStatus(0, 4, "ALIVE")).isTrue();
        for (int left : List.of(0, 1)) {
            for (int right : List.of(2, 3)) {
                processes.heal(left, right);
            }
        }
        eventually("all members are alive after the halves are healed", 20, processes::allAlive);
        assertThat(processes.logs()).doesNotContain("status=LOST");
    }

    @Test
    void fullyPartitionedHalvesLoseEachOtherAndRejoin() throws IOException {
        startFleet(4);
        for (int left : List.of(0, 1)) {
            for (int right : List.of(2, 3)) {
                processes.partition(left, right);
            }
        }
        eventually(
                "each half reports the other as lost",
                30,
                () -> reportsStatus(0, 2, "LOST")
                        && reportsStatus(1, 3, "LOST")
                        && reportsStatus(2, 0, "LOST")
                        && reportsStatus(3, 1, "LOST"));
        assertThat(reportsStatus(0, 1, "ALIVE") && reportsStatus(3, 2, "ALIVE")).isTrue();
        for (int left : List.of(0, 1)) {
            for (int right : List.of(2, 3)) {
                processes.heal(left, right);
            }
        }
        eventually("all members are alive after the halves are healed", 20, processes::allAlive);
    }

    @Test
    void aSecondProcessWithTheNameOfARunningMemberIsRejected() throws Exception {
        startFleet(2);
        processes.kill(1);
        processes.start(1, "m0");
        assertThat(processes.member(1).awaitExit(20)).as(processes.logs()).isEqualTo(2);
        eventually("the rejected process logs the reason in one line", 5, () -> processes.member(1).log().stream()
                .anyMatch(line -> line.contains("the name m0 is owned by a running member")));
        assertThat(processes.member(0).isAlive()).isTrue();
    }
}
