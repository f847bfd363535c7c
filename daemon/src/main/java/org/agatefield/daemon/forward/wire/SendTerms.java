package org.agatefield.daemon.forward.wire;

import java.util.Optional;

/**
 * The terms added to a forwarded request. Immutable.
 *
 * @param runner the intended runner; any other rejects the request
 * @param remainingMilliseconds how long a response is still useful
 * @param priority from 0, the most urgent, to 9; empty for plain services
 * @param account the client account of the request; empty if there is none
 * @param resumeAfter the event after which the stream resumes
 */
public record SendTerms(
    String runner,
    long remainingMilliseconds,
    Optional<Integer> priority,
    Optional<String> account,
    Optional<String> resumeAfter) {}
