package org.agatefield.daemon.forward;

import java.util.function.Consumer;
import org.agatefield.forwarding.ClientAccount;

/** Decides whether a client account's quota allows a request. Confined to one event loop. */
interface QuotaPolicy {
  /**
   * Decides about one request; tells the decision once, perhaps before it returns.
   *
   * @param account has a quota
   * @param tokens what the request counts
   * @param patienceMilliseconds how long the request may wait for the decision
   */
  void decide(
      ClientAccount account, double tokens, long patienceMilliseconds, Consumer<Decision> told);

  /** Gives the tokens of a granted request back that has not run and never will. */
  void refund(ClientAccount account, double tokens);

  /** What was decided. */
  sealed interface Decision {
    /** The request may be sent; its tokens are taken. */
    record Granted() implements Decision {}

    /**
     * The quota is used up. Immutable.
     *
     * @param waitMilliseconds how long until it allows the request
     */
    record Exhausted(long waitMilliseconds) implements Decision {}

    /** Nobody who could say was reached. */
    record Unknown() implements Decision {}
  }
}
