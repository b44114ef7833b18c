package junctionhead.state;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/** A folder of the system's. */
public final class FolderDisk implements Disk {
    private final Path folder;

    /** The folder is made where it does not exist. */
    public FolderDisk(Path folder) throws IOException {
        this.folder = Files.createDirectories(folder);
    }

    @Override
    public List<String> list() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(Files::isRegularFile)
                    .map(f -> f.getFileName().toString())
                    .sorted()
                    .toList();
        }
    }

    @Override
    public byte[] read(String name, int most) throws IOException {
        try (FileChannel file = FileChannel.open(folder.resolve(name), StandardOpenOption.READ)) {
            if (file.size() > most) {
                throw new IOException(name + " is longer than " + most + " bytes");
            }
            ByteBuffer bytes = ByteBuffer.allocate((int) file.size());
            while (bytes.hasRemaining() && file.read(bytes) >= 0) {
                continue;
            }
            return bytes.array();
        }
    }

    @Override
    public void write(String name, byte[] bytes) throws IOException {
        Files.write(folder.resolve(name), bytes);
    }

    @Override
    public void sync(String name) throws IOException {
        try (FileChannel file = FileChannel.open(folder.resolve(name), StandardOpenOption.WRITE)) {
            file.force(true);
        }
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(folder.resolve(from), folder.resolve(to), StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public void syncFolder() throws IOException {
        try (FileChannel names = FileChannel.open(folder, StandardOpenOption.READ)) {
            names.force(true);
        }
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(folder.resolve(name));
    }
}
