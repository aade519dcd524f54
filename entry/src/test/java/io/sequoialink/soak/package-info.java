/**
 * Soak test: starts entry hosts as separate processes between simulated clients, backend
 * servers and a simulated store, injects faults from outside, and checks from what
 * clients and servers observe that the hosts meet the guarantees of the product.
 */
package io.sequoialink.soak;
