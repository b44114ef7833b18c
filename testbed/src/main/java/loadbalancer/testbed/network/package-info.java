/**
 * Links of a network with delay, loss, duplication, reordering and limited bandwidth: {@link
 * loadbalancer.testbed.network.NetworkLink}. A link only computes delays and losses; whoever
 * carries the bytes ({@code emulation} with sockets, {@code simulation} in virtual time) applies
 * them. It must depend on neither. A link is confined to the thread that plays the run.
 */
package loadbalancer.testbed.network;
