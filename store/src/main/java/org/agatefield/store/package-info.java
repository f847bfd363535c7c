/** Clients of the platform's object API and instance list. */
package org.agatefield.store;
