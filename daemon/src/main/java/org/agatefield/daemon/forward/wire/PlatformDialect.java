package org.agatefield.daemon.forward.wire;

import org.agatefield.store.StoreDialect;

/**
 * Everything that a platform spells in its own way. Immutable.
 *
 * @param callers talks to callers
 * @param runners talks to runners
 * @param storedObjects reads what lies in the store
 * @param store talks to the store
 */
public record PlatformDialect(
    CallerDialect callers,
    RunnerDialect runners,
    StoredObjectDialect knowledge,
    StoreDialect store) {}
