/**
 * Communication of a daemon with the other instances: membership, distribution of the configuration
 * and of leaving upstreams, and demand aggregation.
 */
package org.agatefield.daemon.peers;
