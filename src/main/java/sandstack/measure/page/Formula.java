package sandstack.measure.page;

import java.util.function.Function;

/**
 * Recursive descent parser and evaluator of formulas, which consist of numbers, variables, {@code + - * /} and
 * parentheses. A variable is the name of a planning number such as {@code relays}, or the id of another cost model in
 * brackets such as {@code [relay.memory]}, which stands for the figure of that model.
 */
final class Formula {
    /** Maximum nesting of parentheses; bounds the depth of the recursion. */
    private static final int MAX_DEPTH = 20;

    private final String text;
    private final Function<String, Double> variables;
    private int position;
    private int depth;

    private Formula(String text, Function<String, Double> variables) {
        this.text = text;
        this.variables = variables;
    }

    /** Thrown for a formula that cannot be evaluated; the message does not include the formula. */
    static final class MalformedFormulaException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedFormulaException(String message) {
            super(message);
        }
    }

    /**
     * Evaluates a formula.
     *
     * @param variables returns the value of a variable by its name, including brackets; null for an unknown variable
     */
    static double evaluate(String text, Function<String, Double> variables) throws MalformedFormulaException {
        Formula parser = new Formula(text, variables);
        double value = parser.parseSum();
        if (parser.peek() != 0) {
            throw parser.unexpected();
        }
        if (!Double.isFinite(value)) {
            throw new MalformedFormulaException("the result is not a finite number");
        }
        return value;
    }

    private double parseSum() throws MalformedFormulaException {
        double value = parseProduct();
        while (peek() == '+' || peek() == '-') {
            char operator = consume();
            double right = parseProduct();
            value = operator == '+' ? value + right : value - right;
        }
        return value;
    }

    private double parseProduct() throws MalformedFormulaException {
        double value = parseFactor();
        while (peek() == '*' || peek() == '/') {
            char operator = consume();
            double right = parseFactor();
            value = operator == '*' ? value * right : value / right;
        }
        return value;
    }

    private double parseFactor() throws MalformedFormulaException {
        char first = peek();
        if (first == '(') {
            return parseParentheses();
        }
        if (Character.isDigit(first)) {
            return parseNumber();
        }
        if (Character.isLetter(first) || first == '[') {
            return valueOf(first == '[' ? parseReference() : parseIdentifier());
        }
        throw unexpected();
    }

    private double parseParentheses() throws MalformedFormulaException {
        consume();
        if (++depth > MAX_DEPTH) {
            throw new MalformedFormulaException("more than " + MAX_DEPTH + " levels of parentheses");
        }
        double value = parseSum();
        if (peek() != ')') {
            throw unexpected();
        }
        consume();
        depth--;
        return value;
    }

    private double parseNumber() throws MalformedFormulaException {
        int start = position;
        while (position < text.length() && (Character.isDigit(text.charAt(position)) || text.charAt(position) == '.')) {
            position++;
        }
        try {
            return Double.parseDouble(text.substring(start, position));
        } catch (NumberFormatException e) {
            throw new MalformedFormulaException("malformed number " + text.substring(start, position));
        }
    }

    private String parseIdentifier() {
        int start = position;
        while (position < text.length() && Character.isLetterOrDigit(text.charAt(position))) {
            position++;
        }
        return text.substring(start, position);
    }

    private String parseReference() throws MalformedFormulaException {
        int end = text.indexOf(']', position);
        if (end < 0) {
            throw new MalformedFormulaException("unclosed bracket");
        }
        String name = text.substring(position, end + 1);
        position = end + 1;
        return name;
    }

    private double valueOf(String name) throws MalformedFormulaException {
        Double value = variables.apply(name);
        if (value == null) {
            throw new MalformedFormulaException("the variable " + name + " is not defined");
        }
        return value;
    }

    /** Skips spaces and returns the next character without consuming it; 0 at the end. */
    private char peek() {
        while (position < text.length() && text.charAt(position) == ' ') {
            position++;
        }
        return position < text.length() ? text.charAt(position) : 0;
    }

    private char consume() {
        char character = peek();
        position++;
        return character;
    }

    private MalformedFormulaException unexpected() {
        char found = peek();
        return new MalformedFormulaException(
                found == 0 ? "unexpected end" : "unexpected " + found + " at position " + (position + 1));
    }
}
