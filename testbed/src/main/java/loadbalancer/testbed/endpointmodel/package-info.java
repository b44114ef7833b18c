/**
 * How an upstream serves requests, independent of how they reach it: {@link
 * loadbalancer.testbed.endpointmodel.EndpointModel} (cores, queue, slow start), {@link
 * loadbalancer.testbed.endpointmodel.SlowStartBudget} (the load limit in slow start), {@link
 * loadbalancer.testbed.endpointmodel.FaultableService} (the faults that change how it serves) and
 * {@link loadbalancer.testbed.endpointmodel.InjectedFailures}. Each instance belongs to one
 * upstream and to the thread of the run. Must not depend on sockets ({@code emulation}) or virtual
 * time ({@code simulation}).
 */
package loadbalancer.testbed.endpointmodel;
