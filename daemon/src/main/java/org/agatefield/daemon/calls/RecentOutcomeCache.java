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
 * Outcomes that this instance gave lately, so that retries without pause do not each read the store
 * or ask the service.
 *
 * <p>Invariant: answers are final, so that one that is kept is never out of date; "outcome unknown"
 * may yet become an answer, so it is kept for a moment only. Safe for use by any thread.
 */
final class RecentOutcomeCache {
  private static final long MAXIMUM_BYTES = 4L * 1024 * 1024;
  private static final int ENTRY_BYTES = 512;
  private static final Duration ANSWER_TIME = Duration.ofMinutes(1);
  private static final long MAXIMUM_REFUSALS = 10_000;
  private static final Duration REFUSAL_TIME = Duration.ofSeconds(1);

  private final Cache<String, Answered> answers =
      Caffeine.newBuilder()
          .maximumWeight(MAXIMUM_BYTES)
          .weigher((String name, Answered kept) -> ENTRY_BYTES + kept.answer().body().length())
          .expireAfterWrite(ANSWER_TIME)
          .build();
  private final Cache<String, Refused> refusals =
      Caffeine.newBuilder().maximumSize(MAXIMUM_REFUSALS).expireAfterWrite(REFUSAL_TIME).build();

  private record Answered(String bodyHash, ServiceResponse answer) {}

  private record Refused(String bodyHash, AgatefieldException refusal) {}

  /** Keeps what an arrival was given, if it is worth keeping. */
  void keep(String name, String bodyHash, ServiceResponse answer, Throwable failure) {
    if (failure == null) {
      answers.put(name, new Answered(bodyHash, answer));
      return;
    }
    AgatefieldException refusal = AgatefieldException.from(failure);
    if (refusal.kind() == ErrorKind.OUTCOME_UNKNOWN) {
      refusals.put(name, new Refused(bodyHash, refusal));
    }
  }

  /** Returns the outcome of a call, if it is kept. */
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
