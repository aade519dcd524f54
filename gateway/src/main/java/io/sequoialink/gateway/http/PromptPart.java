package io.sequoialink.gateway.http;

/**
 * A part of a prompt that several requests may have in common. Immutable.
 *
 * @param id identifier of the part
 * @param tokens number of tokens
 */
public record PromptPart(long id, int tokens) {
}
