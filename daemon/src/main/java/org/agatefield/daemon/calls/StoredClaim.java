package org.agatefield.daemon.calls;

import org.agatefield.daemon.core.ServiceResponse;
import org.agatefield.idempotency.Claim;
import org.agatefield.store.StoredObject;

/** A claim with the stored object that it was decoded from. Immutable. */
record StoredClaim(StoredObject object, Claim<ServiceResponse> claim) {}
