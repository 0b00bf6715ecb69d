package sandstack.simulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/**
 * Compares the bytes that the adapter writes, and its error messages, with recordings from an earlier revision. The
 * recordings contain every kind of event and action; the comment at the head of each file states how it was made.
 */
class TranscriptTest {
    /** Placeholder for the first batch of the file, which starts the instance. */
    private static final String START = "$START";

    /** Starts the line with the expected error at the end of each block. */
    private static final String ERROR_PREFIX = "! ";

    @Test
    void repliesEqualTheRecordedReplies() throws Exception {
        String input = withoutHeader(resource("session-input.txt"));
        String output = withoutHeader(resource("session-output.txt"));
        assertThat(replies(input)).isEqualTo(output);
    }

    @TestFactory
    List<DynamicTest> errorMessagesEqualTheRecordedOnes() throws IOException {
        String[] blocks = withoutHeader(resource("malformed-input.txt")).split("\n\n", 0);
        String start = blocks[0].strip();
        List<DynamicTest> tests = new ArrayList<>();
        for (int i = 1; i < blocks.length; i++) {
            String block = blocks[i].strip();
            int errorAt = block.lastIndexOf("\n" + ERROR_PREFIX);
            String input = block.substring(0, errorAt + 1).replace(START, start);
            String error = block.substring(errorAt + 1 + ERROR_PREFIX.length());
            tests.add(DynamicTest.dynamicTest(
                    i + ": " + error, () -> assertThat(firstErrorLine(input)).isEqualTo(error)));
        }
        assertThat(tests).hasSize(132);
        return tests;
    }

    private static String replies(String input) throws IOException, MalformedMessageException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulatorSession().run(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out);
        return out.toString(StandardCharsets.UTF_8);
    }

    /** The first line of what the command {@code simhost} prints to standard error, without the command's name. */
    private static String firstErrorLine(String input) {
        Throwable error = catchThrowable(() -> replies(input));
        assertThat(error).isInstanceOfAny(MalformedMessageException.class, IOException.class);
        String prefix = error instanceof IOException ? "input or output failed: " : "";
        return prefix + error.getMessage().lines().findFirst().orElseThrow();
    }

    private static String resource(String name) throws IOException {
        try (InputStream in = TranscriptTest.class.getResourceAsStream("/simulator/" + name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** The text without its leading lines of comment. */
    private static String withoutHeader(String text) {
        String rest = text;
        while (rest.startsWith("#")) {
            rest = rest.substring(rest.indexOf('\n') + 1);
        }
        return rest;
    }
}
