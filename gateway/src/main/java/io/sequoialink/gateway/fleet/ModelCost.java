package io.sequoialink.gateway.fleet;

/**
 * A model that the engines of a service can run, with its price. Immutable.
 *
 * @param name name of the model
 * @param cost price of 1,000 generated tokens; a prompt token costs a quarter of a
 * generated one
 */
public record ModelCost(String name, double cost) {
}
