package org.agatefield.peer;

import java.util.concurrent.atomic.LongAdder;

/** Counts the messages, bytes and connections of a transport. Thread-safe. */
public final class PeerTraffic {
  private final LongAdder messagesSent = new LongAdder();
  private final LongAdder messagesReceived = new LongAdder();
  private final LongAdder bytesSent = new LongAdder();
  private final LongAdder bytesReceived = new LongAdder();
  private final LongAdder messagesDropped = new LongAdder();
  private final LongAdder connectionsOpened = new LongAdder();

  void sent(int bytes) {
    messagesSent.increment();
    bytesSent.add(bytes);
  }

  void received(int bytes) {
    messagesReceived.increment();
    bytesReceived.add(bytes);
  }

  void dropped() {
    messagesDropped.increment();
  }

  void connectionOpened() {
    connectionsOpened.increment();
  }

  /** Returns the number of messages sent. */
  public long messagesSent() {
    return messagesSent.sum();
  }

  /** Returns the number of messages received. */
  public long messagesReceived() {
    return messagesReceived.sum();
  }

  /** Returns the number of bytes sent, including frame lengths, excluding TCP and TLS overhead. */
  public long bytesSent() {
    return bytesSent.sum();
  }

  /**
   * Returns the number of bytes received, including frame lengths, excluding TCP and TLS overhead.
   */
  public long bytesReceived() {
    return bytesReceived.sum();
  }

  /** Returns the number of messages dropped because they could not be written. */
  public long messagesDropped() {
    return messagesDropped.sum();
  }

  /** Returns the number of connections that this side opened. */
  public long connectionsOpened() {
    return connectionsOpened.sum();
  }
}
