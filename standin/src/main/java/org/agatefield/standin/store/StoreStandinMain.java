package org.agatefield.standin.store;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import io.vertx.core.DeploymentOptions;
import io.vertx.core.Vertx;

/**
 * Runs the stand-in store until the process ends. Used from one thread.
 *
 * <p>Prints {@code listening on 127.0.0.1:PORT} when it accepts calls. {@code POST /faults} takes
 * {@link StoreFaults} as JSON, {@code GET /counts} returns the number of calls by verb and kind.
 */
@Command(name = "store-standin", description = "runs a stand-in object store")
public final class StoreStandinMain {
  @Option(name = "--port", description = "port on loopback; 0 for any free one")
  private int port;

  /** Starts the store and prints its address. */
  public static void main(String[] arguments) {
    SingleCommand.singleCommand(StoreStandinMain.class).parse(arguments).run();
  }

  private void run() {
    Vertx.vertx()
        .deployVerticle(() -> new StoreVerticle(port), new DeploymentOptions())
        .onFailure(
            failure -> {
              System.err.println("cannot listen: " + failure.getMessage());
              System.exit(1);
            });
  }
}
