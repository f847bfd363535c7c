package org.agatefield.standin.service;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import io.vertx.core.Vertx;

/** Runs a stand-in plain service until the process ends. Used from one thread. */
@Command(name = "service-standin", description = "runs a stand-in booking service")
public final class ServiceStandinMain {
  @Option(name = "--port", description = "port on loopback; 0 for any free one")
  private int port;

  @Option(name = "--name", description = "the service's name")
  private String name = "service";

  /** Starts the service and prints its port. */
  public static void main(String[] arguments) {
    SingleCommand.singleCommand(ServiceStandinMain.class).parse(arguments).run();
  }

  private void run() {
    new ServiceStandin(Vertx.vertx(), port, name)
        .start()
        .onSuccess(actualPort -> System.out.println(name + " listens on 127.0.0.1:" + actualPort))
        .onFailure(
            failure -> {
              System.err.println(name + " cannot listen on port " + port + ": " + failure);
              System.exit(1);
            });
  }
}
