package sandstack.measure.page;

import java.util.function.Function;

/**
 * A reckoned value as staff write it down: numbers, names, {@code + - * /} and parentheses. A name is a planning number,
 * such as {@code relays}; in brackets it is another slope's figure, such as {@code [relay.memory]}.
 */
final class Arithmetic {
    private static final int DEEPEST = 20;

    private final String text;
    private final Function<String, Double> names;
    private int position;
    private int depth;

    private Arithmetic(String text, Function<String, Double> names) {
        this.text = text;
        this.names = names;
    }

    /** What is wrong with an expression. */
    static final class Malformed extends Exception {
        private static final long serialVersionUID = 1L;

        Malformed(String message) {
            super(message);
        }
    }

    /**
     * The value of an expression.
     *
     * @param names gives the value of a name, brackets included, or null where there is none
     */
    static double evaluate(String text, Function<String, Double> names) throws Malformed {
        Arithmetic reader = new Arithmetic(text, names);
        double value = reader.sum();
        if (reader.next() != 0) {
            throw reader.unexpected();
        }
        if (!Double.isFinite(value)) {
            throw new Malformed("comes to no finite number");
        }
        return value;
    }

    private double sum() throws Malformed {
        double value = product();
        while (next() == '+' || next() == '-') {
            char operator = take();
            double right = product();
            value = operator == '+' ? value + right : value - right;
        }
        return value;
    }

    private double product() throws Malformed {
        double value = term();
        while (next() == '*' || next() == '/') {
            char operator = take();
            double right = term();
            value = operator == '*' ? value * right : value / right;
        }
        return value;
    }

    private double term() throws Malformed {
        char first = next();
        if (first == '(') {
            return parenthesis();
        }
        if (Character.isDigit(first)) {
            return number();
        }
        if (Character.isLetter(first) || first == '[') {
            return named(first == '[' ? bracketed() : word());
        }
        throw unexpected();
    }

    private double parenthesis() throws Malformed {
        take();
        if (++depth > DEEPEST) {
            throw new Malformed("more than " + DEEPEST + " parentheses deep");
        }
        double value = sum();
        if (next() != ')') {
            throw unexpected();
        }
        take();
        depth--;
        return value;
    }

    private double number() throws Malformed {
        int start = position;
        while (position < text.length() && (Character.isDigit(text.charAt(position)) || text.charAt(position) == '.')) {
            position++;
        }
        try {
            return Double.parseDouble(text.substring(start, position));
        } catch (NumberFormatException e) {
            throw new Malformed("has no number at " + text.substring(start, position));
        }
    }

    private String word() {
        int start = position;
        while (position < text.length() && Character.isLetterOrDigit(text.charAt(position))) {
            position++;
        }
        return text.substring(start, position);
    }

    private String bracketed() throws Malformed {
        int end = text.indexOf(']', position);
        if (end < 0) {
            throw new Malformed("has a bracket that does not end");
        }
        String name = text.substring(position, end + 1);
        position = end + 1;
        return name;
    }

    private double named(String name) throws Malformed {
        Double value = names.apply(name);
        if (value == null) {
            throw new Malformed("names " + name + ", which there is not");
        }
        return value;
    }

    /** The next character that is no blank; 0 at the end. */
    private char next() {
        while (position < text.length() && text.charAt(position) == ' ') {
            position++;
        }
        return position < text.length() ? text.charAt(position) : 0;
    }

    private char take() {
        char taken = next();
        position++;
        return taken;
    }

    private Malformed unexpected() {
        char found = next();
        return new Malformed(found == 0 ? "ends too early" : "has " + found + " at position " + (position + 1));
    }
}
