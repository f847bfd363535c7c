/** The callers' HTTP interface: models, plain services, entry addresses and graceful shutdown. */
package org.agatefield.daemon.http;
