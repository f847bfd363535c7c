package org.agatefield.cost;

import java.util.OptionalInt;

/**
 * What is known of a generation request before it runs. Immutable.
 *
 * @param route the name of its route
 * @param model the name of its model
 * @param account the name of its client account; empty without one
 * @param promptTokens the size of its prompt
 * @param maximumOutputTokens the maximum number of tokens to generate; 0 if it is not known
 * @param outputHint the caller's estimate of the number of tokens to generate
 */
public record RequestShape(
    String route,
    String model,
    String account,
    int promptTokens,
    int maximumOutputTokens,
    OptionalInt outputHint) {}
