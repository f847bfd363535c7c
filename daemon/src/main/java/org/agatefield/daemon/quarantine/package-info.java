/** Attributes crashes of upstreams to requests and keeps these requests away from them. */
package org.agatefield.daemon.quarantine;
