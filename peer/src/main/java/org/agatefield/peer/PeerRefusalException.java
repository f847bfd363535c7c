package org.agatefield.peer;

import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;

/** Reports that a peer received a request but does not support it. Immutable. */
public final class PeerRefusalException extends AgatefieldException {
  private static final long serialVersionUID = 1L;

  /** Creates a failure with the peer's reason. */
  public PeerRefusalException(String reason) {
    super(ErrorKind.INTERNAL, "peer request failed: refused: " + reason);
  }
}
