/** The client side of the platform's object API and of its instance list. */
package org.agatefield.store;
