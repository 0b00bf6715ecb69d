package sandstack.measure.page;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** All slopes, in the order of the page. */
public record Slopes(List<Slope> slopes) {
    /** Keeps a copy of the list. */
    public Slopes {
        slopes = List.copyOf(Objects.requireNonNull(slopes, "slopes: missing"));
    }

    Optional<Slope> find(String id) {
        return slopes.stream().filter(s -> s.id().equals(id)).findFirst();
    }
}
