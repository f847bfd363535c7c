package org.agatefield.forwarding;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * What runners may crash on in a request: the parts that its prompt shares with others, and the
 * request itself. The last part of a prompt is none of them: other requests of its session have it
 * too, and if it is deadly, then so is the request that comes again with it. Immutable.
 *
 * @param ids the identifiers of the traits, from the most common one to the request's fingerprint
 */
public record RequestTraits(List<String> ids) {
  /** Copies the list. */
  public RequestTraits {
    ids = List.copyOf(ids);
  }

  /** Returns the traits of a request. */
  public static RequestTraits of(
      Optional<GenerationParameters> prompt, RequestFingerprint fingerprint) {
    List<String> ids =
        new ArrayList<>(prompt.map(GenerationParameters::sharedPartIds).orElse(List.of()));
    ids.add(fingerprint.value());
    return new RequestTraits(ids);
  }
}
