package loadbalancer.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/** A {@link SnapshotDirectory} in the file system. Its operations block on the disk. */
public final class FileSystemDirectory implements SnapshotDirectory {
    private final Path directory;

    /**
     * Creates the directory and its parents if they do not exist.
     *
     * @throws IOException if the directory can't be created
     */
    public FileSystemDirectory(Path directory) throws IOException {
        this.directory = Files.createDirectories(directory);
    }

    @Override
    public List<String> list() throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            return files.filter(Files::isRegularFile)
                    .map(file -> file.getFileName().toString())
                    .sorted()
                    .toList();
        }
    }

    @Override
    public byte[] read(String name, int maxBytes) throws IOException {
        try (FileChannel channel =
                FileChannel.open(directory.resolve(name), StandardOpenOption.READ)) {
            if (channel.size() > maxBytes) {
                throw new IOException(name + " is longer than " + maxBytes + " bytes");
            }
            ByteBuffer buffer = ByteBuffer.allocate((int) channel.size());
            int readBytes = 0;
            while (buffer.hasRemaining() && readBytes >= 0) {
                readBytes = channel.read(buffer);
            }
            return buffer.array();
        }
    }

    @Override
    public void write(String name, byte[] bytes) throws IOException {
        Files.write(directory.resolve(name), bytes);
    }

    @Override
    public void sync(String name) throws IOException {
        try (FileChannel channel =
                FileChannel.open(directory.resolve(name), StandardOpenOption.WRITE)) {
            channel.force(true);
        }
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(directory.resolve(from), directory.resolve(to), StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public void syncDirectory() throws IOException {
        try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(directory.resolve(name));
    }
}
