/** Defines the platform-specific encodings, so that all other code is independent of them. */
package org.agatefield.daemon.forward.wire;
