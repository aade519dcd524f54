package io.sequoialink.soak;

/**
 * A promise that was broken. Immutable.
 *
 * @param rule name of the rule
 * @param detail what was seen, with the request's identifier if there is one
 */
public record Violation(String rule, String detail) {
}
