/** The client side of model engines: generation with event streams, orders and load reports. */
package org.agatefield.engine;
