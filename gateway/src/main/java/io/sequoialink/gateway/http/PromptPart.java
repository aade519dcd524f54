package io.sequoialink.gateway.http;

/**
 * A part of a prompt that requests may share. Immutable.
 *
 * @param id identifier of the part
 * @param tokens tokens that it holds
 */
public record PromptPart(long id, int tokens) {
}
