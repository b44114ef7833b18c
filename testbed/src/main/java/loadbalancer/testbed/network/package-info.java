/**
 * Links of a network with delay, loss, duplication, reordering and limited bandwidth: {@link
 * loadbalancer.testbed.network.NetworkLink}. A link only computes delays and losses. The packages
 * that transfer the bytes apply them: {@code emulation} with sockets, {@code simulation} in virtual
 * time. This package must not depend on either. A link is confined to the thread that executes the
 * run.
 */
package loadbalancer.testbed.network;
