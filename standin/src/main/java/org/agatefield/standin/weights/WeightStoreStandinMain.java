package org.agatefield.standin.weights;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import io.vertx.core.Vertx;

/** Runs a stand-in weight store until the process ends. Used from one thread. */
@Command(name = "weight-store-standin", description = "runs a stand-in weight store")
public final class WeightStoreStandinMain {
  @Option(name = "--port", description = "port on loopback; 0 for any free one")
  private int port;

  @Option(name = "--loads-per-second", description = "maximum number of loads started per second")
  private double loadsPerSecond = 1.5;

  @Option(name = "--concurrent-loads", description = "number of concurrent loads at full speed")
  private int concurrentLoads = 6;

  @Option(name = "--load-milliseconds", description = "time of a load at full speed")
  private long loadMilliseconds = 200;

  /** Starts the store and prints its port. */
  public static void main(String[] arguments) {
    SingleCommand.singleCommand(WeightStoreStandinMain.class).parse(arguments).run();
  }

  private void run() {
    new WeightStoreStandin(Vertx.vertx(), port, loadsPerSecond, concurrentLoads, loadMilliseconds)
        .start()
        .onSuccess(
            actualPort -> System.out.println("weight store listens on 127.0.0.1:" + actualPort))
        .onFailure(
            failure -> {
              System.err.println("the weight store cannot listen on port " + port + ": " + failure);
              System.exit(1);
            });
  }
}
