package org.agatefield.peer;

import io.netty.handler.ssl.SslContext;

/**
 * The TLS contexts of a peer transport. Immutable.
 *
 * @param server for connections that come in; asks for the peer's certificate
 * @param client for connections that go out
 */
public record PeerTls(SslContext server, SslContext client) {}
