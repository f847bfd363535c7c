package org.agatefield.store;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.function.BiFunction;

/**
 * What a watch needs to call the store. Immutable.
 *
 * @param vertx runs the timers
 * @param client carries the calls
 * @param options makes the request to a method and a path
 * @param kind the kind to watch
 * @param fromVersion the version after which changes are reported
 * @param listener told of the changes
 */
public record WatchCall(
    Vertx vertx,
    HttpClient client,
    BiFunction<HttpMethod, String, RequestOptions> options,
    ObjectKind kind,
    String fromVersion,
    WatchListener listener) {}
