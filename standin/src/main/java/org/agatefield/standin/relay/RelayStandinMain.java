package org.agatefield.standin.relay;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import io.vertx.core.Vertx;
import org.agatefield.model.Address;

/** Runs a TCP relay until the process ends. Used from one thread. */
@Command(name = "relay-standin", description = "relays TCP connections, with configurable faults")
public final class RelayStandinMain {
  @Option(name = "--port", description = "port on loopback; 0 for any free one")
  private int port;

  @Option(name = "--control-port", description = "port of the control interface")
  private int controlPort;

  @Option(name = "--target", description = "address to relay connections to, IP:port")
  private String target = "127.0.0.1:1";

  /** Starts the relay and prints its ports. */
  public static void main(String[] arguments) {
    SingleCommand.singleCommand(RelayStandinMain.class).parse(arguments).run();
  }

  private void run() {
    Vertx vertx = Vertx.vertx();
    Address address = Address.parse(target);
    RelayStandin relay = new RelayStandin(vertx, address.host(), address.port());
    vertx.runOnContext(
        ignored ->
            relay
                .start(port)
                .compose(actualPort -> relay.startControl(controlPort).map(control -> actualPort))
                .onSuccess(
                    actualPort -> System.out.println("relay listens on 127.0.0.1:" + actualPort))
                .onFailure(
                    failure -> {
                      System.err.println("the relay cannot listen: " + failure);
                      System.exit(1);
                    }));
  }
}
