package org.agatefield.daemon.operate;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.concurrent.CompletableFuture;
import org.agatefield.configuration.ChangeRules;
import org.agatefield.configuration.ConfigurationDifference;
import org.agatefield.configuration.ConfigurationFaultsException;
import org.agatefield.configuration.ConfigurationReader;
import org.agatefield.configuration.ConfigurationWriter;
import org.agatefield.daemon.configuration.ConfigurationManager;
import org.agatefield.daemon.configuration.ConfigurationRefusedException;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.ErrorKind;

/** The operators' requests about the configuration. Immutable; safe for use by any thread. */
final class ConfigurationRoutes {
  private final ConfigurationManager keeper;

  ConfigurationRoutes(ConfigurationManager keeper) {
    this.keeper = keeper;
  }

  void mount(Router router) {
    router.get("/operator/configuration").handler(this::current);
    router.get("/operator/configuration/history").handler(this::history);
    router.get("/operator/configuration/history/:generation").handler(this::historyDocument);
    router.post("/operator/configuration/validate").handler(this::validate);
    router.put("/operator/configuration").handler(this::apply);
  }

  private void current(RoutingContext context) {
    OperatorAnswers.succeed(context, ConfigurationWriter.toTree(keeper.current()));
  }

  private void history(RoutingContext context) {
    keeper
        .historyGenerations()
        .whenComplete(
            (generations, failure) -> {
              if (failure != null) {
                OperatorAnswers.fail(context, failure);
                return;
              }
              ObjectNode body = JsonNodeFactory.instance.objectNode();
              body.put("current", keeper.current().generation());
              generations.forEach(body.putArray("earlier")::add);
              OperatorAnswers.succeed(context, body);
            });
  }

  private void historyDocument(RoutingContext context) {
    long generation;
    try {
      generation = Long.parseLong(context.pathParam("generation"));
    } catch (NumberFormatException exception) {
      OperatorAnswers.fail(
          context,
          new AgatefieldException(ErrorKind.INVALID_REQUEST, "the generation is not a number"));
      return;
    }
    answerDocument(context, keeper.historyDocument(generation));
  }

  private void validate(RoutingContext context) {
    try {
      ConfigurationDocument document = read(context);
      ObjectNode body = JsonNodeFactory.instance.objectNode();
      body.put("valid", true);
      body.set(
          "difference",
          OperatorAnswers.difference(ConfigurationDifference.between(keeper.current(), document)));
      body.set("faults", OperatorAnswers.faults(ChangeRules.check(keeper.current(), document)));
      body.put("valid", body.get("faults").isEmpty());
      OperatorAnswers.succeed(context, body);
    } catch (AgatefieldException exception) {
      OperatorAnswers.fail(context, exception);
    }
  }

  private void apply(RoutingContext context) {
    try {
      answerDocument(context, keeper.apply(read(context)));
    } catch (AgatefieldException exception) {
      OperatorAnswers.fail(context, exception);
    }
  }

  private static ConfigurationDocument read(RoutingContext context) {
    String text = context.body().asString();
    try {
      return ConfigurationReader.read(text == null ? "" : text);
    } catch (ConfigurationFaultsException exception) {
      throw new ConfigurationRefusedException(exception.faults());
    }
  }

  private static void answerDocument(
      RoutingContext context, CompletableFuture<ConfigurationDocument> answer) {
    answer.whenComplete(
        (document, failure) -> {
          if (failure == null) {
            OperatorAnswers.succeed(context, ConfigurationWriter.toTree(document));
          } else {
            OperatorAnswers.fail(context, failure);
          }
        });
  }
}
