/**
 * Who of the configured peers is present: a state machine without sockets or clock of its own. It
 * decides nothing about requests, and nothing that is placed on one waits for it.
 */
package loadbalancer.membership;
