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
        eventually("all members see all alive", 30, processes::allAlive);
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

    private boolean sees(int observer, int subject, String status) {
        var statuses = processes.memberStatuses(observer);
        return statuses != null && status.equals(statuses.get(ProcessFleet.memberName(subject)));
    }

    @Test
    void aPartitionedPairIsPartiallyReachableUntilHealed() throws IOException {
        startFleet(5);
        processes.partition(1, 3);
        eventually("all members report both partially reachable", 15, () -> {
            for (int i = 0; i < 5; i++) {
                if (!sees(i, 1, "PARTLY") || !sees(i, 3, "PARTLY")) {
                    return false;
                }
            }
            return true;
        });
        assertThat(processes.memberEntry(0, "m3").path("against").toString()).isEqualTo("[\"m1\"]");
        assertThat(processes.memberEntry(0, "m2").path("standing").asText()).isEqualTo("ALIVE");
        processes.heal(1, 3);
        eventually("all alive again", 15, processes::allAlive);
        assertThat(processes.logs()).doesNotContain("status=LOST");
    }

    @Test
    void aKilledMemberIsLostAStoppedOneHasLeftAndARestartIsANewIncarnation() throws Exception {
        startFleet(4);
        String before = processes.memberEntry(0, "m3").path("life").asText();
        processes.stop(2);
        eventually("m2 has left", 10, () -> sees(0, 2, "LEFT") && sees(1, 2, "LEFT") && sees(3, 2, "LEFT"));
        processes.kill(3);
        eventually("m3 is lost", 20, () -> sees(0, 3, "LOST") && sees(1, 3, "LOST"));
        processes.start(3);
        processes.start(2);
        eventually("all members see all alive again", 30, processes::allAlive);
        assertThat(processes.memberEntry(0, "m3").path("life").asText()).isNotEqualTo(before);
    }

    @Test
    void aRestartBeforeFailureDetectionTakesItsNameAtOnce() throws Exception {
        startFleet(3);
        String before = processes.memberEntry(0, "m2").path("life").asText();
        processes.kill(2);
        processes.start(2);
        eventually("a new incarnation of the same name is alive", 15, () -> {
            var line = processes.memberEntry(0, "m2");
            return line != null
                    && line.path("standing").asText().equals("ALIVE")
                    && !line.path("life").asText().equals(before);
        });
        assertThat(processes.member(2).isAlive()).isTrue();
    }

    @Test
    void aPausedMemberRejoinsAndReportsNobodyUnreachable() throws Exception {
        startFleet(4);
        int loggedBefore = processes.member(1).log().size();
        processes.pause(1);
        eventually("m1 is suspect", 20, () -> !sees(0, 1, "ALIVE"));
        eventually("m1 is lost", 20, () -> sees(0, 1, "LOST") && sees(2, 1, "LOST"));
        processes.resume(1);
        eventually("all alive again", 20, processes::allAlive);
        // to the resumed member no time has passed: it must not blame the others for what it missed
        assertThat(processes
                        .member(1)
                        .log()
                        .subList(loggedBefore, processes.member(1).log().size()))
                .noneMatch(line -> line.matches(".*unreachable_from=(\\S+,)?m1(,.*)?"));
    }

    @Test
    void aOneWayPartitionIsPartialAndHalvesJoinedByAThirdMemberStayOneFleet() throws IOException {
        startFleet(5);
        processes.partitionOneWay(2, 4);
        eventually("m4 is partially reachable", 15, () -> sees(0, 4, "PARTLY"));
        processes.heal(2, 4);
        eventually("healed", 15, processes::allAlive);
        // m4 alone reaches both halves
        for (int left : List.of(0, 1)) {
            for (int right : List.of(2, 3)) {
                processes.partition(left, right);
            }
        }
        eventually(
                "the halves report each other partially reachable",
                20,
                () -> sees(0, 2, "PARTLY")
                        && sees(0, 3, "PARTLY")
                        && sees(2, 0, "PARTLY")
                        && sees(3, 1, "PARTLY")
                        && sees(4, 0, "PARTLY"));
        assertThat(sees(0, 4, "ALIVE")).isTrue();
        for (int left : List.of(0, 1)) {
            for (int right : List.of(2, 3)) {
                processes.heal(left, right);
            }
        }
        eventually("one fleet, all alive", 20, processes::allAlive);
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
                "each half lost the other",
                30,
                () -> sees(0, 2, "LOST") && sees(1, 3, "LOST") && sees(2, 0, "LOST") && sees(3, 1, "LOST"));
        assertThat(sees(0, 1, "ALIVE") && sees(3, 2, "ALIVE")).isTrue();
        for (int left : List.of(0, 1)) {
            for (int right : List.of(2, 3)) {
                processes.heal(left, right);
            }
        }
        eventually("one fleet again", 20, processes::allAlive);
    }

    @Test
    void aSecondProcessWithTheNameOfALiveMemberIsRejected() throws Exception {
        startFleet(2);
        processes.kill(1);
        processes.start(1, "m0");
        assertThat(processes.member(1).awaitExit(20)).as(processes.logs()).isEqualTo(2);
        eventually("it logs the reason in one line", 5, () -> processes.member(1).log().stream()
                .anyMatch(line -> line.contains("the name m0 is held by a member that lives")));
        assertThat(processes.member(0).isAlive()).isTrue();
    }
}
