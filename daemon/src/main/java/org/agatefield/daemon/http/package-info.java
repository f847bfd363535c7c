/** The HTTP API for callers: models, plain services, entry addresses and graceful shutdown. */
package org.agatefield.daemon.http;
