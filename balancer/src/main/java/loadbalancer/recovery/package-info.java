/**
 * Persists and recovers the state of a balancer that outlives its process: the endpoint list, the
 * policy snapshot, the incarnation and the lease promises.
 *
 * <p>{@link loadbalancer.recovery.RecoveryStore} is the entry point. It owns the directory, by
 * means of {@code DirectoryLock}, and the disk thread ({@code DiskThread}), on which {@code
 * SnapshotWriter} saves snapshots. The event loop only merges the endpoint list in memory ({@code
 * PersistedEndpoints}). Only {@code SnapshotContentCodec} and {@code PolicySnapshotCodec} know the
 * stored JSON.
 *
 * <p>The package depends on {@code storage} for the files, on {@code config} for the endpoint list
 * and on {@code routing.api} for the policy snapshot. It does not depend on the routing policy
 * itself or on sockets. Design: {@code docs/design/recovery.md}.
 */
package loadbalancer.recovery;
