/**
 * Controls the placement of models by ledgers in the store and orders to engines, and provides the
 * resulting replicas.
 */
package org.agatefield.daemon.placing;
