/**
 * State of a balancer that outlives its process: the endpoint list, the knowledge of the routing
 * policy, the incarnation and the promises of leases.
 *
 * <p>{@link loadbalancer.recovery.RecoveryStore} is the entry: it owns the directory (by {@code
 * DirectoryLock}) and the disk thread ({@code DiskThread}), on which {@code SnapshotWriter} stores
 * snapshots. The event loop only merges the endpoint list in memory ({@code PersistedEndpoints}).
 * {@code SnapshotContentCodec} and {@code PolicySnapshotCodec} are the only places that know the
 * stored JSON.
 *
 * <p>Depends on {@code storage} for the files, on {@code config} for the endpoint list and on
 * {@code routing.api} for the values of the routing policy; not on the policy itself nor on
 * sockets. Design: {@code docs/design/recovery.md}.
 */
package loadbalancer.recovery;
