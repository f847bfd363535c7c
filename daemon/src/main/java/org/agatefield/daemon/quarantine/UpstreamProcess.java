package org.agatefield.daemon.quarantine;

import org.agatefield.model.Address;

/**
 * One process of an upstream. Immutable.
 *
 * @param upstream the upstream's identifier, which the next process may have too
 * @param startTimeMilliseconds the wall-clock time of the process's start
 * @param leaving whether it has announced its end, so that this is no crash
 */
public record UpstreamProcess(
    String upstream, long startTimeMilliseconds, Address address, boolean leaving) {}
