package org.agatefield.peer;

import java.util.concurrent.atomic.LongAdder;

/** Counts what a transport carried. Safe for use by any thread. */
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

  /** Returns the number of bytes sent, lengths included, without those of TCP and TLS. */
  public long bytesSent() {
    return bytesSent.sum();
  }

  /** Returns the number of bytes received, lengths included, without those of TCP and TLS. */
  public long bytesReceived() {
    return bytesReceived.sum();
  }

  /** Returns the number of messages that were given up because they could not be written. */
  public long messagesDropped() {
    return messagesDropped.sum();
  }

  /** Returns the number of connections that this side opened. */
  public long connectionsOpened() {
    return connectionsOpened.sum();
  }
}
