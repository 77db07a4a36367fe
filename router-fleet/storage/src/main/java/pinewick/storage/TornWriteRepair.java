package pinewick.storage;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/**
 * Truncates the log at a write that was interrupted by a power failure. Sectors of this write that did not reach the
 * disk are read as zeros, and Xodus then treats the log as damaged. An intact log never contains a full sector of
 * consecutive zeros, and synced data does not turn into zeros. The first zero sector therefore belongs to a write that
 * was never confirmed, provided that the truncation removes at most one write.
 */
final class TornWriteRepair {
    /** The smallest unit of a disk write. */
    private static final int SECTOR_BYTES = 512;

    private static final String LOG_FILES = "*.xd";

    private final Path live;

    TornWriteRepair(Path live) {
        this.live = live;
    }

    /** Truncates the log at the first zero sector. Returns whether there is one that belongs to the last write. */
    boolean truncate() throws IOException {
        List<Path> files = logFiles();
        for (int fileIndex = 0; fileIndex < files.size(); fileIndex++) {
            int offset = firstZeroSector(Files.readAllBytes(files.get(fileIndex)));
            if (offset >= 0) {
                return truncate(files.subList(fileIndex, files.size()), offset);
            }
        }
        return false;
    }

    private static boolean truncate(List<Path> files, int offset) throws IOException {
        int writeCount = 0;
        for (Path file : files) {
            byte[] bytes = Files.readAllBytes(file);
            writeCount += countMarkers(bytes, file.equals(files.get(0)) ? offset : 0);
        }
        if (writeCount > 1) {
            return false;
        }
        for (Path laterFile : files.subList(1, files.size())) {
            Files.delete(laterFile);
        }
        try (FileChannel first = FileChannel.open(files.get(0), StandardOpenOption.WRITE)) {
            first.truncate(offset);
            first.force(true);
        }
        return true;
    }

    /** The log files in the order of their log addresses, which are their names. */
    private List<Path> logFiles() throws IOException {
        try (Stream<Path> files = Files.list(live)) {
            return files.filter(file -> file.getFileSystem()
                            .getPathMatcher("glob:" + LOG_FILES)
                            .matches(file.getFileName()))
                    .sorted()
                    .toList();
        }
    }

    /** Offset of the first {@value #SECTOR_BYTES} consecutive zeros; -1 if there are none. */
    private static int firstZeroSector(byte[] bytes) {
        int zeros = 0;
        for (int index = 0; index < bytes.length; index++) {
            zeros = bytes[index] == 0 ? zeros + 1 : 0;
            if (zeros == SECTOR_BYTES) {
                return index + 1 - SECTOR_BYTES;
            }
        }
        return -1;
    }

    private static int countMarkers(byte[] bytes, int offset) {
        int markers = 0;
        for (int index = offset; index + WriteChecksum.MARKER.length <= bytes.length; index++) {
            markers += isMarker(bytes, index) ? 1 : 0;
        }
        return markers;
    }

    private static boolean isMarker(byte[] bytes, int offset) {
        for (int index = 0; index < WriteChecksum.MARKER.length; index++) {
            if (bytes[offset + index] != WriteChecksum.MARKER[index]) {
                return false;
            }
        }
        return true;
    }
}
