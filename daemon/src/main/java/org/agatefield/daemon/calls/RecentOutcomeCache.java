package org.agatefield.daemon.calls;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.agatefield.daemon.core.ServiceResponse;
import org.agatefield.idempotency.Claim;
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

  private final Cache<String, Claim<ServiceResponse>> answers =
      Caffeine.newBuilder()
          .maximumWeight(MAXIMUM_BYTES)
          .weigher(
              (String name, Claim<ServiceResponse> cached) ->
                  ENTRY_OVERHEAD_BYTES + answerOf(cached).body().length())
          .expireAfterWrite(ANSWER_TIME_TO_LIVE)
          .build();
  private final Cache<String, Refused> refusals =
      Caffeine.newBuilder()
          .maximumSize(MAXIMUM_REFUSALS)
          .expireAfterWrite(REFUSAL_TIME_TO_LIVE)
          .build();

  private record Refused(String bodyHash, AgatefieldException refusal) {}

  /**
   * Caches the reply to an arrival if it is a response or "outcome unknown".
   *
   * @param claim a claim of the call, not necessarily the one in the store
   */
  void cache(String name, Claim<ServiceResponse> claim, ServiceResponse answer, Throwable failure) {
    if (failure == null) {
      answers.put(name, claim.withOutcome(new Claim.Outcome<>(Optional.of(answer))));
      return;
    }
    AgatefieldException refusal = AgatefieldException.from(failure);
    if (refusal.kind() == ErrorKind.OUTCOME_UNKNOWN) {
      refusals.put(name, new Refused(claim.bodyHash(), refusal));
    }
  }

  /** Returns claims with the cached responses, by name. */
  Map<String, Claim<ServiceResponse>> answered() {
    return Map.copyOf(answers.asMap());
  }

  private static ServiceResponse answerOf(Claim<ServiceResponse> claim) {
    return claim.outcome().flatMap(Claim.Outcome::answer).orElseThrow();
  }

  /** Returns the outcome of a call, if it is cached for the same request body. */
  Optional<CompletableFuture<ServiceResponse>> find(String name, String bodyHash) {
    Claim<ServiceResponse> answered = answers.getIfPresent(name);
    if (answered != null && answered.bodyHash().equals(bodyHash)) {
      return Optional.of(CompletableFuture.completedFuture(answerOf(answered)));
    }
    Refused refused = refusals.getIfPresent(name);
    if (refused != null && refused.bodyHash().equals(bodyHash)) {
      return Optional.of(CompletableFuture.failedFuture(refused.refusal()));
    }
    return Optional.empty();
  }
}
