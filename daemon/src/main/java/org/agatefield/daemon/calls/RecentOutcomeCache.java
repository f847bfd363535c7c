package org.agatefield.daemon.calls;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.agatefield.daemon.core.ServiceResponse;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;

/**
 * Caches recent outcomes at this instance, so that rapid retries do not each read the store or
 * query the service.
 *
 * <p>Invariant: cached responses are never stale, because a response is final. "Outcome unknown"
 * may be followed by a response and is therefore cached only briefly. Thread-safe.
 */
final class RecentOutcomeCache {
  private static final long MAXIMUM_BYTES = 4L * 1024 * 1024;
  private static final int ENTRY_OVERHEAD_BYTES = 512;
  private static final Duration ANSWER_TIME_TO_LIVE = Duration.ofMinutes(1);
  private static final long MAXIMUM_REFUSALS = 10_000;
  private static final Duration REFUSAL_TIME_TO_LIVE = Duration.ofSeconds(1);

  private final Cache<String, Answered> answers =
      Caffeine.newBuilder()
          .maximumWeight(MAXIMUM_BYTES)
          .weigher(
              (String name, Answered cached) ->
                  ENTRY_OVERHEAD_BYTES + cached.answer().body().length())
          .expireAfterWrite(ANSWER_TIME_TO_LIVE)
          .build();
  private final Cache<String, Refused> refusals =
      Caffeine.newBuilder()
          .maximumSize(MAXIMUM_REFUSALS)
          .expireAfterWrite(REFUSAL_TIME_TO_LIVE)
          .build();

  private record Answered(String bodyHash, ServiceResponse answer) {}

  private record Refused(String bodyHash, AgatefieldException refusal) {}

  /** Caches the reply to an arrival if it is a response or "outcome unknown". */
  void cache(String name, String bodyHash, ServiceResponse answer, Throwable failure) {
    if (failure == null) {
      answers.put(name, new Answered(bodyHash, answer));
      return;
    }
    AgatefieldException refusal = AgatefieldException.from(failure);
    if (refusal.kind() == ErrorKind.OUTCOME_UNKNOWN) {
      refusals.put(name, new Refused(bodyHash, refusal));
    }
  }

  /** Returns the outcome of a call, if it is cached for the same request body. */
  Optional<CompletableFuture<ServiceResponse>> find(String name, String bodyHash) {
    Answered answered = answers.getIfPresent(name);
    if (answered != null && answered.bodyHash().equals(bodyHash)) {
      return Optional.of(CompletableFuture.completedFuture(answered.answer()));
    }
    Refused refused = refusals.getIfPresent(name);
    if (refused != null && refused.bodyHash().equals(bodyHash)) {
      return Optional.of(CompletableFuture.failedFuture(refused.refusal()));
    }
    return Optional.empty();
  }
}
