/** Client of model engines for generations with event streams, orders and load reports. */
package org.agatefield.engine;
