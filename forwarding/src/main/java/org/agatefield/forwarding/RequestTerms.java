package org.agatefield.forwarding;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a caller's headers say about a request. Immutable.
 *
 * @param id unique for each try of a caller
 * @param deadlineMilliseconds how long the caller waits, from its sending
 * @param lastEventId the event after which a stream is to go on
 * @param prompt what a generation asks for; empty for a plain request
 */
public record RequestTerms(
    String id,
    OptionalLong deadlineMilliseconds,
    Optional<String> lastEventId,
    Optional<PromptTerms> prompt) {}
