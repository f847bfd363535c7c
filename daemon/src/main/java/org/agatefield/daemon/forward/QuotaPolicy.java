package org.agatefield.daemon.forward;

import java.util.function.Consumer;
import org.agatefield.forwarding.ClientAccount;

/** Decides whether a client account's quota allows a request. Confined to one event loop. */
interface QuotaPolicy {
  /**
   * Decides on one request; passes the decision to {@code onDecision} exactly once, possibly before
   * returning.
   *
   * @param account has a quota
   * @param tokens the cost of the request
   * @param timeoutMilliseconds how long the request may wait for the decision
   */
  void decide(
      ClientAccount account,
      double tokens,
      long timeoutMilliseconds,
      Consumer<Decision> onDecision);

  /** Refunds the tokens of a granted request that has not run and never will. */
  void refund(ClientAccount account, double tokens);

  /** The outcome of a quota check. */
  sealed interface Decision {
    /** The request may be sent; its tokens have been taken. */
    record Granted() implements Decision {}

    /**
     * The quota is exhausted. Immutable.
     *
     * @param waitMilliseconds time until the quota allows the request
     */
    record Exhausted(long waitMilliseconds) implements Decision {}

    /** No instance that could decide was reachable. */
    record Unknown() implements Decision {}
  }
}
