/** The configuration in force: accepted through the store, learnt by watch, peers and poll. */
package org.agatefield.daemon.configuration;
