package org.agatefield.peer;

import io.netty.handler.ssl.SslContext;

/**
 * The TLS contexts of a peer transport. Immutable.
 *
 * @param server for incoming connections; requests the peer's certificate
 * @param client for outgoing connections
 */
public record PeerTls(SslContext server, SslContext client) {}
