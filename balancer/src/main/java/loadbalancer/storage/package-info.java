/**
 * Stores checksummed snapshots in a directory so that they survive a crash or a loss of power.
 *
 * <p>{@link loadbalancer.storage.SnapshotStore} saves and recovers the snapshots of one kind.
 * {@link loadbalancer.storage.Snapshot} defines the file format. {@link
 * loadbalancer.storage.SnapshotDirectory} is the interface to the file operations whose order
 * decides what survives; {@link loadbalancer.storage.FileSystemDirectory} implements it.
 *
 * <p>All operations block on the disk and run on the caller's thread. Objects are used by one
 * thread at a time, which must not be an event loop once the process serves requests. The content
 * of a snapshot is opaque to this package, which depends on no other package of the project.
 * Design: {@code docs/design/recovery.md}.
 */
package loadbalancer.storage;
