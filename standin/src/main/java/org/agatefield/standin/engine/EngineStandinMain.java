package org.agatefield.standin.engine;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import io.vertx.core.Vertx;
import java.util.Optional;

/** Runs a stand-in engine until the process ends. Used from one thread. */
@Command(name = "engine-standin", description = "runs a stand-in model engine")
public final class EngineStandinMain {
  @Option(name = "--port", description = "port on loopback; 0 for any free one")
  private int port;

  @Option(name = "--name", description = "the engine's name")
  private String name = "engine";

  @Option(name = "--memory-megabytes", description = "accelerator memory")
  private long memoryMegabytes = 80_000;

  @Option(
      name = "--checks-fencing-tokens",
      arity = 1,
      description = "whether orders with an outdated fencing token are refused")
  private boolean checksFencingTokens = true;

  @Option(name = "--weights", description = "address of the weight store, IP:port")
  private String weights;

  @Option(name = "--token-milliseconds", description = "time of one step of the batch")
  private int tokenMilliseconds = 5;

  @Option(name = "--batch", description = "maximum number of concurrent requests")
  private int batch = 16;

  @Option(name = "--adapter-load-milliseconds", description = "time to load an adapter")
  private int adapterLoadMilliseconds = 10;

  @Option(
      name = "--weights-delay",
      description = "milliseconds added to a load after the weight store")
  private int weightsDelayMilliseconds;

  /** Starts the engine and prints its port. */
  public static void main(String[] arguments) {
    SingleCommand<EngineStandinMain> command = SingleCommand.singleCommand(EngineStandinMain.class);
    command.parse(arguments).run();
  }

  private void run() {
    EngineStandinOptions options =
        new EngineStandinOptions(
            port,
            name,
            memoryMegabytes,
            checksFencingTokens,
            Optional.ofNullable(weights),
            tokenMilliseconds,
            batch,
            adapterLoadMilliseconds,
            weightsDelayMilliseconds);
    new EngineStandin(Vertx.vertx(), options)
        .start()
        .onSuccess(actualPort -> System.out.println(name + " listens on 127.0.0.1:" + actualPort))
        .onFailure(
            failure -> {
              System.err.println(name + " cannot listen on port " + port + ": " + failure);
              System.exit(1);
            });
  }
}
