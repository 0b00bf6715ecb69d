package sandstack.measure.page;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** All cost models in the order of the page; the content of {@code docs/capacity/slopes.json}. */
public record CostModels(@JsonProperty("slopes") List<CostModel> models) {
    /** Copies the list. */
    public CostModels {
        models = List.copyOf(Objects.requireNonNull(models, "slopes: missing"));
    }

    /** The model with this id. */
    Optional<CostModel> find(String id) {
        return models.stream().filter(model -> model.id().equals(id)).findFirst();
    }
}
