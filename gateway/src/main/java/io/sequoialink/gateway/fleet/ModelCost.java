package io.sequoialink.gateway.fleet;

/**
 * A model that the engines of a service can run. Immutable.
 *
 * @param name name of the model
 * @param cost price of 1,000 generated tokens; tokens read count a quarter
 */
public record ModelCost(String name, double cost) {
}
