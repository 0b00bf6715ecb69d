package sandstack.scenario;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A client or feed server that uses the line protocol. */
final class TextActor extends Actor {
    private static int lastId;

    TextActor(Socket socket) {
        super(socket);
    }

    /**
     * Sends one line: {@code ask CLASS KEY MILLIS [ATTRIBUTES]}, {@code up}, {@code line TEXT}, or the text after
     * {@code raw}. A raw text that ends with {@code ...} is sent without a line end.
     */
    @Override
    void send(String message) throws IOException {
        String[] words = message.split(" ", 0);
        String line =
                switch (words[0]) {
                    case "ask" -> "OPEN id" + ++lastId + " " + words[1 + 1] + " c=" + words[1] + ",d=" + words[3]
                            + ",g=g1" + (words.length > 4 ? "," + words[4] : "");
                    case "up" -> "UP receipt";
                    case "bye", "move", "busy" -> words[0].toUpperCase(Locale.ROOT);
                    case "error" -> "ERR";
                    case "line" -> message.substring(5);
                    case "raw" -> message.substring(4)
                            .replace("\\r", "\r")
                            .replace("\\n", "\n")
                            .replace("\\0", "\0");
                    case "long" -> "OPEN " + "x".repeat(Integer.parseInt(words[1]));
                    default -> throw new IllegalArgumentException(message);
                };
        boolean incomplete = words[0].equals("raw") && line.endsWith("...");
        byte[] bytes = (incomplete ? line.substring(0, line.length() - 3) : line + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        socket.getOutputStream().write(bytes);
    }

    @Override
    void read() throws IOException {
        BufferedReader in =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            String[] words = line.split("[ ,]", 0);
            if (words[0].equals("OPEN")) {
                key = words[2];
            }
            events.add(
                    switch (words[0]) {
                        case "OPEN" -> "ask " + words[3].substring(2);
                        case "UP", "MOVE", "BYE", "PONG" -> words[0].toLowerCase(Locale.ROOT);
                        case "ERR" -> "error";
                        case "BUSY" -> words.length > 1 && Integer.parseInt(words[1]) > 0 ? "busy later" : "busy";
                        default -> "line " + line;
                    });
        }
    }
}
