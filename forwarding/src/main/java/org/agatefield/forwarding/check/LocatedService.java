package org.agatefield.forwarding.check;

import java.util.List;
import java.util.stream.IntStream;
import org.agatefield.forwarding.EnginePool;
import org.agatefield.forwarding.ServedModel;
import org.agatefield.forwarding.ServiceDefinition;

/**
 * A service and where the operator wrote its parts. Immutable.
 *
 * @param service the service
 * @param enginePath the path of its engines
 * @param modelPaths the paths of the engines' models, in their order
 */
public record LocatedService(
    Located<ServiceDefinition> service, String enginePath, List<String> modelPaths) {
  /** Copies the list. */
  public LocatedService {
    modelPaths = List.copyOf(modelPaths);
  }

  /** Returns the name of the service. */
  String name() {
    return service.value().name();
  }

  /** Returns the engines; empty for a plain service. */
  List<Located<EnginePool>> engines() {
    return service.value().engines().stream()
        .map(engines -> new Located<>(enginePath, engines))
        .toList();
  }

  /** Returns the models of the engines. */
  List<Located<ServedModel>> models() {
    List<ServedModel> models = service.value().engines().map(EnginePool::models).orElse(List.of());
    return IntStream.range(0, models.size())
        .mapToObj(i -> new Located<>(modelPaths.get(i), models.get(i)))
        .toList();
  }
}
