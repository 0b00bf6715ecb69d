package sandstack.measure.page;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** The content of {@code docs/capacity/slopes.json}: all cost models in the order of the page. */
public record CostModels(@JsonProperty("slopes") List<CostModel> models) {
    /** Rejects a null list, which results from a missing key in the file. */
    public CostModels {
        models = List.copyOf(Objects.requireNonNull(models, "slopes: missing"));
    }

    /** The model with this id; empty if there is none. */
    Optional<CostModel> find(String id) {
        return models.stream().filter(model -> model.id().equals(id)).findFirst();
    }
}
