package org.agatefield.store;

import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.function.BiFunction;
import java.util.function.Predicate;

/**
 * The parameters of a watch. Immutable.
 *
 * @param vertx runs the timers
 * @param client performs the calls
 * @param options creates the request options for a method and a path
 * @param kind the kind to watch
 * @param fromVersion the store's revision after which changes are reported
 * @param sameHistory returns whether the headers of a response are those of the era in which the
 *     watch began and no later one is known; a watch must end with {@link
 *     StoreFailure#VERSION_GONE} if not
 * @param listener receives the changes
 */
public record WatchCall(
    Vertx vertx,
    HttpClient client,
    BiFunction<HttpMethod, String, RequestOptions> options,
    ObjectKind kind,
    String fromVersion,
    Predicate<MultiMap> sameHistory,
    WatchListener listener) {}
