package org.agatefield.forwarding;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * What runners may crash on in a request: the parts that its prompt shares with others, and the
 * request itself. The last part of a prompt is none of them: other requests of its session have it
 * too, and if it is deadly, then so is the request that comes again with it. Immutable.
 *
 * <p>Invariant: an identifier has at most 64 characters, whatever callers send.
 *
 * @param ids the identifiers of the traits, from the most common one to the request's fingerprint
 */
public record RequestTraits(List<String> ids) {
  private static final int MAXIMUM_IDENTIFIER_LENGTH = 64;
  private static final String DIGEST_PREFIX = "part-"; // No identifier in hexadecimal has it.

  /** Copies the list. */
  public RequestTraits {
    ids = List.copyOf(ids);
  }

  /** Returns the traits of a request. */
  public static RequestTraits of(
      Optional<GenerationParameters> prompt, RequestFingerprint fingerprint) {
    List<String> ids = new ArrayList<>();
    prompt.ifPresent(terms -> terms.sharedPartIds().forEach(id -> ids.add(shorten(id))));
    ids.add(fingerprint.value());
    return new RequestTraits(ids);
  }

  /** Returns the identifier of a part, or its digest if it is long, as traits are kept. */
  private static String shorten(String id) {
    return id.length() <= MAXIMUM_IDENTIFIER_LENGTH
        ? id
        : DIGEST_PREFIX + Sha256.half(id.getBytes(StandardCharsets.UTF_8));
  }
}
