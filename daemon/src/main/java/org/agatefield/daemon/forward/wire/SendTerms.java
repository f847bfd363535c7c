package org.agatefield.daemon.forward.wire;

import java.util.Optional;

/**
 * What is added to a request that is passed on. Immutable.
 *
 * @param runner the runner that is meant; any other turns the request away
 * @param remainingMilliseconds how long an answer is still useful
 * @param priority from 0, the most urgent, to 9; empty for plain services
 * @param account the client account that the request belongs to; empty if there is none
 * @param resumeAfter the event after which the stream goes on
 */
public record SendTerms(
    String runner,
    long remainingMilliseconds,
    Optional<Integer> priority,
    Optional<String> account,
    Optional<String> resumeAfter) {}
