/**
 * The part of a daemon that talks to the other instances: membership, the spreading of the
 * configuration and of leaving upstreams, and the demand tree.
 */
package org.agatefield.daemon.peers;
