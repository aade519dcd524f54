package io.sequoialink.soak;

/**
 * A violated guarantee. Immutable. The codes of the guarantees:
 * <ul>
 * <li>TWICE: a request that must not be retried is executed at most once</li>
 * <li>REFUSED: a request that got a response with status 408, 421, 429 or 503 is not
 * executed if it must not be retried</li>
 * <li>UNASKED: servers get only what a client sent, with the headers of its account</li>
 * <li>MIXED: a client gets the unchanged response to its own request: a run's first
 * answer, with its status and body, or a failure of the host's own</li>
 * <li>ORDER: the events of a stream arrive completely, once and in order</li>
 * <li>ROUTE: a request goes to the service of its route with its path unchanged</li>
 * <li>DRAIN: a server that is shutting down gets no more requests after some time</li>
 * <li>EVAC: a server of an evacuated zone gets no more requests after some time</li>
 * <li>LOST: hosts do not break the connection of an executed request, and serve harmless
 * requests beside those that crash servers</li>
 * <li>GONE: work for a client that has disconnected is cancelled</li>
 * <li>CONFIG: configuration changes and request timeouts take effect in time</li>
 * <li>BUDGET: executions of a request, requests during a back-off, and executions of a
 * request that crashes servers are limited, also of requests that share only a part of
 * their prompts</li>
 * <li>INNOCENT: a request that does not crash servers gets no long Retry-After</li>
 * <li>LIMIT: hosts that a server told of its limit keep to it together</li>
 * <li>COLD: all hosts together keep to the limit of a cold server, in any one second</li>
 * <li>RECOVER: most requests succeed again after the last fault</li>
 * </ul>
 *
 * @param rule code of the guarantee, such as TWICE
 * @param detail what was observed, starting with the identifier of the request or the
 * name of the host
 */
public record Violation(String rule, String detail) {
}
