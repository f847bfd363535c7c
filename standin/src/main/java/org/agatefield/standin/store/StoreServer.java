package org.agatefield.standin.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.io.IOException;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Serves the stand-in store over HTTP.
 *
 * <p>Confined to one event loop, except for {@link #table}.
 */
public final class StoreServer {
  private static final String OBJECTS = "/apis/agatefield.org/v1/namespaces/:namespace/:kind";
  private static final String ERA_HEADER = "Store-Era";
  private static final ObjectMapper MAPPER = new ObjectMapper().registerModule(new Jdk8Module());

  private final Vertx vertx;
  private final ObjectTable table;
  private final CallCounts counts = new CallCounts();
  private final StateHistory history = new StateHistory();
  private final Set<WatchAnswer> watches = ConcurrentHashMap.newKeySet();
  private Optional<ObjectTable.Copy> copy = Optional.empty();
  private StoreFaults faults = StoreFaults.none();
  private Random random = new Random(0);
  private int answersToLose;
  private int effectsToDelay;

  /** Creates a server for a table. */
  public StoreServer(Vertx vertx, ObjectTable table) {
    this.vertx = vertx;
    this.table = table;
  }

  /**
   * Starts listening on loopback.
   *
   * @param port the port, or 0 for a free one
   */
  public Future<HttpServer> listen(int port) {
    Router router = Router.router(vertx);
    router.route().handler(this::nameEra);
    router.route().handler(BodyHandler.create(false).setBodyLimit(-1));
    router.post("/faults").handler(this::setFaults);
    router.get("/counts").handler(this::readCounts);
    router.get(OBJECTS).handler(this::listOrWatch);
    router.get(OBJECTS + "/:name").handler(this::get);
    router.post(OBJECTS).handler(context -> write(context, "create"));
    router.put(OBJECTS + "/:name").handler(context -> write(context, "update"));
    router.delete(OBJECTS + "/:name").handler(context -> write(context, "delete"));
    table.observe(table.version(), this::recordState);
    return vertx.createHttpServer().requestHandler(router).listen(port, "127.0.0.1");
  }

  private void nameEra(RoutingContext context) {
    if (table.era() > 0) {
      context.response().putHeader(ERA_HEADER, Long.toString(table.era()));
    }
    context.next();
  }

  private void setFaults(RoutingContext context) {
    try {
      faults = MAPPER.readValue(body(context).getBytes(), StoreFaults.class);
    } catch (IOException exception) {
      context.response().setStatusCode(400).end(exception.getMessage() + "\n");
      return;
    }
    random = new Random(faults.seed());
    answersToLose = faults.loseAnswersAfterEffect();
    effectsToDelay = faults.delayEffectCount();
    if (faults.forgetChanges()) {
      table.compact();
    }
    if (faults.restoreCopy()) {
      table.restore(copy.orElseThrow());
    }
    if (faults.keepCopy()) {
      copy = Optional.of(table.copy());
    }
    if (faults.cutWatches() || faults.down() || faults.restoreCopy()) {
      watches.forEach(WatchAnswer::end);
    }
    context.response().end("{}\n");
  }

  private void readCounts(RoutingContext context) {
    context.response().putHeader("Content-Type", "application/json");
    context.response().end(counts.toJson() + "\n");
  }

  private void get(RoutingContext context) {
    String plural = context.pathParam("kind");
    counts.count("get", plural);
    serve(context, () -> answer(context, table.get(plural, context.pathParam("name"))));
  }

  private void listOrWatch(RoutingContext context) {
    String plural = context.pathParam("kind");
    if ("true".equals(context.request().getParam("watch"))) {
      counts.count("watch", plural);
      serve(context, () -> watch(context, plural));
      return;
    }
    counts.count("list", plural);
    serve(context, () -> list(context, plural));
  }

  private void list(RoutingContext context, String plural) {
    HttpServerRequest request = context.request();
    int limit = Integer.parseInt(request.getParam("limit", "0"));
    ObjectTable.Result now = table.list(plural, limit, request.getParam("continue", ""));
    long lag = faults.lagOf(plural);
    answer(context, lag == 0 ? now : history.at(System.currentTimeMillis() - lag, now));
  }

  private void watch(RoutingContext context, String plural) {
    long fromVersion = Long.parseLong(context.request().getParam("resourceVersion", "0"));
    WatchAnswer watch = new WatchAnswer(vertx, context.response(), plural, () -> faults);
    boolean started = watch.start(table, fromVersion);
    if (!started) {
      answer(
          context,
          ObjectTable.status(
              410, "Expired", "changes after this resourceVersion are no longer retained"));
      return;
    }
    watches.add(watch);
    counts.addWaitingWatches(1);
    context
        .response()
        .closeHandler(
            closed -> {
              watch.stop(table);
              watches.remove(watch);
              counts.addWaitingWatches(-1);
            });
  }

  private void write(RoutingContext context, String verb) {
    String plural = context.pathParam("kind");
    counts.count(verb, plural);
    boolean faulty = faults.appliesTo(plural, verb);
    if (faulty && !faults.down() && delaysEffect()) {
      vertx.setTimer(faults.delayEffectMilliseconds(), fired -> apply(context, verb));
      return;
    }
    serve(
        context,
        () -> {
          ObjectTable.Result result = apply(context, verb);
          if (faulty && result.status() < 300 && losesAnswer()) {
            context.request().connection().close();
            return;
          }
          answer(context, result);
        });
  }

  private boolean delaysEffect() {
    if (faults.delayEffectMilliseconds() == 0) {
      return false;
    }
    if (faults.delayEffectCount() == 0) {
      return true;
    }
    effectsToDelay--;
    return effectsToDelay >= 0;
  }

  private boolean losesAnswer() {
    if (answersToLose > 0) {
      answersToLose--;
      return true;
    }
    return faults.loseAnswersShare() > 0 && random.nextDouble() < faults.loseAnswersShare();
  }

  private ObjectTable.Result apply(RoutingContext context, String verb) {
    String plural = context.pathParam("kind");
    String name = context.pathParam("name");
    Buffer body = body(context);
    return switch (verb) {
      case "create" -> table.create(plural, parse(body), body.length());
      case "update" -> table.update(plural, name, parse(body), body.length());
      default -> table.delete(plural, name, parse(body));
    };
  }

  private void serve(RoutingContext context, Runnable action) {
    if (faults.hang()) {
      return;
    }
    if (faults.down()) {
      answer(context, ObjectTable.status(503, "ServiceUnavailable", "the store is down"));
      return;
    }
    if (faults.slowMilliseconds() > 0) {
      vertx.setTimer(faults.slowMilliseconds(), fired -> action.run());
      return;
    }
    action.run();
  }

  private void recordState(ObjectTable.Change change) {
    if (change.plural().equals(faults.lagKind().orElse("instances"))) {
      history.add(System.currentTimeMillis(), table.list(change.plural(), 0, ""));
    }
  }

  private static void answer(RoutingContext context, ObjectTable.Result result) {
    if (context.response().closed() || context.response().ended()) {
      return;
    }
    context.response().setStatusCode(result.status());
    context.response().putHeader("Content-Type", "application/json");
    try {
      context.response().end(Buffer.buffer(MAPPER.writeValueAsBytes(result.body())));
    } catch (JsonProcessingException exception) {
      throw new IllegalStateException("cannot serialize the object as JSON", exception);
    }
  }

  private static Buffer body(RoutingContext context) {
    Buffer body = context.body().buffer();
    return body == null ? Buffer.buffer() : body;
  }

  private static JsonNode parse(Buffer body) {
    try {
      return MAPPER.readTree(body.getBytes());
    } catch (IOException exception) {
      return MissingNode.getInstance();
    }
  }
}
