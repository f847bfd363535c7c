/** Admits requests, routes them to upstreams and resolves the entry instances that callers use. */
package org.agatefield.daemon.dispatch;
