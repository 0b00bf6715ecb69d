package sandstack.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** The simulator adapter: a request from attempt to end, every outcome, and the errors for malformed input. */
class SimulatorSessionTest {
    private static final String START = "{\"t\":\"Up\",\"entropy\":6,\"new\":{\"x\":[1]},\"profile_data\":{\"caps\":"
            + "{\"connect_timeout_us\":100000,\"max_attempts\":3,\"probes\":true,\"later\":[{\"a\":1}]},"
            + "\"classes\":[{\"deadline_us\":2000000,\"goal_time_us\":500000,\"gain\":1,\"idempotency\":\"safe\","
            + "\"group\":\"all\"}],\"contract\":{\"cold_from\":0.3,\"warm_after_us\":8000000},"
            + "\"family_info\":{\"message_aim_us\":[100000]},\"layer\":0,\"locality\":0,\"me\":0,"
            + "\"membership_mode\":\"on_request\",\"report\":{\"columns\":[\"x0\"]},\"siblings\":2,"
            + "\"tenants\":[{\"name\":\"t\",\"portion\":1}],\"zones\":[\"z\"]}}";
    private static final String ENDPOINT_LIST =
            "{\"t\":\"Catalog\",\"table\":0,\"items\":[{\"dc\":0,\"shape\":0,\"group\":0,"
                    + "\"server\":\"s1\",\"phase\":\"in_service\",\"rating\":1},{\"dc\":0,\"server\":\"s2\",\"since_us\":3,"
                    + "\"phase\":\"terminating\",\"rating\":1.5}]},"
                    + "{\"t\":\"Registry\",\"table\":0,\"form\":\"Persisted\",\"generation\":1}";
    private static final String CONNECT =
            "{\"t\":\"Ingress\",\"corr\":\"r1\",\"kind\":0,\"client_deadline_us\":9000000,"
                    + "\"path_key\":\"k\",\"bitmap\":1,\"work_hint_us\":100}";

    private static String batch(int serial, String events) {
        return "{\"time_us\":" + 1_000_000 * serial + ",\"serial\":" + serial + ",\"parts\":[{\"who\":3,\"happened\":["
                + events + "]}]}\n";
    }

    private static String[] replies(String input) throws IOException, MalformedMessageException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulatorSession().run(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out);
        return out.toString(StandardCharsets.UTF_8).split("\n");
    }

    private static String errorMessage(String input) {
        return assertThrows(MalformedMessageException.class, () -> replies(input))
                .getMessage();
    }

    @Test
    void emptyBatchGetsEmptyReply() throws Exception {
        assertEquals("{\"serial\":7,\"parts\":[]}", replies("{\"time_us\":1,\"serial\":7,\"parts\":[]}\n")[0]);
    }

    @Test
    void requestIsHandledFromAttemptToEnd() throws Exception {
        String[] replies = replies(batch(1, START + "," + ENDPOINT_LIST)
                + batch(2, CONNECT)
                + batch(
                        3,
                        "{\"t\":\"ProbeDone\",\"server\":\"s1\",\"ending\":\"completed\",\"duration_us\":9,"
                                + "\"stats\":[0.5]}")
                + batch(4, "{\"t\":\"Accepted\",\"corr\":\"r1\",\"go\":0,\"server\":\"s1\",\"duration_us\":5}")
                + batch(
                        5,
                        "{\"t\":\"UpdateOf\",\"corr\":\"r1\",\"sort\":1,\"value\":0.5,\"go\":0,\"server\":\"s1\"},"
                                + "{\"t\":\"UpdateOf\",\"corr\":\"r1\",\"sort\":2,\"value\":1,\"go\":0,\"server\":\"s1\"},"
                                + "{\"t\":\"Message\",\"neighbour\":1,\"bytes\":\"x\"},{\"t\":\"Unheard\",\"a\":{}}")
                + batch(
                        6,
                        "{\"t\":\"Settled\",\"corr\":\"r1\",\"done_flag\":true,\"go\":0,\"duration_us\":5,"
                                + "\"ending\":\"completed\",\"server\":\"s1\"},{\"t\":\"Expired\",\"corr\":\"r1\"}")
                + batch(7, "{\"t\":\"PowerOff\"}," + START + "," + ENDPOINT_LIST));
        assertTrue(replies[0].contains("\"t\":\"Subscribe\",\"active\":true"), replies[0]);
        assertEquals("{\"serial\":3,\"parts\":[]}", replies[2]);
        assertTrue(replies[1].contains("\"t\":\"HandOff\",\"corr\":\"r1\",\"server\":\"s1\""), replies[1]);
        assertEquals("{\"serial\":6,\"parts\":[]}", replies[5]);
        assertTrue(replies[6].contains("Subscribe"), replies[6]);
    }

    @Test
    void everyOutcomeIsTranslated() throws Exception {
        for (String outcome :
                new String[] {"errored", "saturated", "overdue", "refused_conn", "severed", "recalled", "superseded"}) {
            String probe = "{\"t\":\"ProbeDone\",\"server\":\"s1\",\"ending\":\"overdue\",\"duration_us\":9}";
            String end = "{\"t\":\"Settled\",\"corr\":\"r1\",\"go\":0,\"duration_us\":5,\"ending\":\"" + outcome
                    + "\",\"server\":\"s1\"}";
            String[] replies = replies(
                    batch(1, START + "," + ENDPOINT_LIST) + batch(2, CONNECT) + batch(3, probe) + batch(4, end));
            assertTrue(replies[3].contains("Timer") || replies[3].contains("TurnAway"), outcome + ": " + replies[3]);
        }
    }

    @Test
    void errorsNameBatchAndField() {
        String start = batch(1, START + "," + ENDPOINT_LIST);
        assertTrue(errorMessage("hello\n").contains("not JSON"));
        assertTrue(errorMessage(start + "{\"time_us\":2,\"serial\":2,\"parts\":[}\n")
                .contains("batch 2: not JSON"));
        assertTrue(errorMessage("{\"serial\":2,\"parts\":[]}\n").contains("batch 2: lacks time_us"));
        assertTrue(errorMessage(start + batch(2, "{\"t\":\"Ingress\",\"kind\":0,\"client_deadline_us\":5}"))
                .contains("batch 2: Ingress lacks corr"));
        assertTrue(errorMessage(start + batch(2, CONNECT.replace("\"kind\":0", "\"kind\":\"a\"")))
                .contains("batch 2: Ingress: not an integer: kind"));
        assertTrue(errorMessage(start + batch(2, "{\"t\":\"Registry\",\"table\":9,\"form\":\"Partial\"}"))
                .contains("table names a list that never came"));
        assertTrue(errorMessage(batch(1, START.replace("\"siblings\":2", "\"siblings\":0") + "," + ENDPOINT_LIST))
                .contains("instances"));
        assertTrue(errorMessage(batch(1, START.replace("\"me\":0,", "") + "," + ENDPOINT_LIST))
                .contains("me is missing"));
        assertTrue(errorMessage(batch(4, CONNECT)).contains("batch 4: Ingress for instance 3, which has not started"));
    }
}
