/** Admits requests, routes them to upstreams and answers which entry instances to use. */
package org.agatefield.daemon.dispatch;
