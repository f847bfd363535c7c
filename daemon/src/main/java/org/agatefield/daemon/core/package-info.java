/** The narrow interfaces between the parts of a daemon; each part lies in a package of its own. */
package org.agatefield.daemon.core;
