/** The operators' API: configuration, status, explanations and drain. */
package org.agatefield.daemon.operate;
