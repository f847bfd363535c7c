package org.agatefield.standin.store;

import io.vertx.core.DeploymentOptions;
import io.vertx.core.Vertx;
import java.util.List;

/**
 * Runs the stand-in store as a process: {@code --port N}, 0 for a free one.
 *
 * <p>Prints {@code listening on 127.0.0.1:PORT} once it accepts calls. {@code POST /faults} takes
 * {@link StoreFaults} as JSON, {@code GET /counts} answers the calls by verb and kind.
 */
public final class StoreStandinMain {
  private static final int USAGE_EXIT_CODE = 2;

  private StoreStandinMain() {}

  /** Starts the process. */
  public static void main(String[] arguments) {
    List<String> words = List.of(arguments);
    if (words.size() != 2 || !words.get(0).equals("--port")) {
      System.err.println("usage: StoreStandinMain --port N");
      System.exit(USAGE_EXIT_CODE);
    }
    Vertx vertx = Vertx.vertx();
    vertx
        .deployVerticle(
            () -> new StoreVerticle(Integer.parseInt(words.get(1))), new DeploymentOptions())
        .onFailure(
            failure -> {
              System.err.println("cannot listen: " + failure.getMessage());
              System.exit(1);
            });
  }
}
