package org.agatefield.daemon.forward.wire;

import org.agatefield.store.StoreDialect;

/**
 * Groups the platform-specific encodings. Immutable.
 *
 * @param callers encodes communication with callers
 * @param runners encodes communication with runners
 * @param storedObjects decodes stored objects
 * @param store encodes calls of the store
 */
public record PlatformDialect(
    CallerDialect callers,
    RunnerDialect runners,
    StoredObjectDialect storedObjects,
    StoreDialect store) {}
