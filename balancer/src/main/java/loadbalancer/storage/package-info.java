/**
 * Verified snapshots in a directory, which survive a crash or a loss of power.
 *
 * <p>{@link loadbalancer.storage.SnapshotStore} writes and recovers the snapshots of one kind,
 * {@link loadbalancer.storage.Snapshot} is one of them with its file format, {@link
 * loadbalancer.storage.SnapshotDirectory} the few file operations whose order decides what
 * survives, with {@link loadbalancer.storage.FileSystemDirectory} as the real one.
 *
 * <p>All operations block on the disk and belong to one thread, that of the caller; never to an
 * event loop once the process serves. The content of a snapshot is opaque here: the package depends
 * on no other of the project. Design: {@code docs/design/recovery.md}.
 */
package loadbalancer.storage;
