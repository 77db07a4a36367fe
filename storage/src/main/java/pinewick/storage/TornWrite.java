package pinewick.storage;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/**
 * Cuts off a write that was under way when the power was lost. Pages of it that did not reach the disk read as zeros,
 * after which Xodus takes the log for damaged. No whole log has so many zeros in a row, and what was synced is no zeros
 * afterwards: so the first of them stand in a write that was never confirmed, if no more than one write is cut off.
 */
final class TornWrite {
    /** A disk writes no smaller pieces. */
    private static final int SECTOR_BYTES = 512;

    private static final String LOG_FILES = "*.xd";

    private final Path live;

    TornWrite(Path live) {
        this.live = live;
    }

    /** Cuts the log before the first missing piece; returns whether there was one and it lies in the last write. */
    boolean cutOff() throws IOException {
        List<Path> files = logFiles();
        for (int number = 0; number < files.size(); number++) {
            int from = firstMissing(Files.readAllBytes(files.get(number)));
            if (from >= 0) {
                return cutOff(files.subList(number, files.size()), from);
            }
        }
        return false;
    }

    private static boolean cutOff(List<Path> files, int from) throws IOException {
        int writes = 0;
        for (Path file : files) {
            byte[] bytes = Files.readAllBytes(file);
            writes += marks(bytes, file.equals(files.get(0)) ? from : 0);
        }
        if (writes > 1) {
            return false;
        }
        for (Path later : files.subList(1, files.size())) {
            Files.delete(later);
        }
        try (FileChannel first = FileChannel.open(files.get(0), StandardOpenOption.WRITE)) {
            first.truncate(from);
            first.force(true);
        }
        return true;
    }

    /** In the order of their addresses, which their names are. */
    private List<Path> logFiles() throws IOException {
        try (Stream<Path> files = Files.list(live)) {
            return files.filter(file -> file.getFileSystem()
                            .getPathMatcher("glob:" + LOG_FILES)
                            .matches(file.getFileName()))
                    .sorted()
                    .toList();
        }
    }

    /** Where a sector's worth of zeros begins, -1 if nowhere. */
    private static int firstMissing(byte[] bytes) {
        int zeros = 0;
        for (int index = 0; index < bytes.length; index++) {
            zeros = bytes[index] == 0 ? zeros + 1 : 0;
            if (zeros == SECTOR_BYTES) {
                return index + 1 - SECTOR_BYTES;
            }
        }
        return -1;
    }

    private static int marks(byte[] bytes, int from) {
        int marks = 0;
        for (int index = from; index + WriteChecksum.MARK.length <= bytes.length; index++) {
            marks += isMark(bytes, index) ? 1 : 0;
        }
        return marks;
    }

    private static boolean isMark(byte[] bytes, int at) {
        for (int index = 0; index < WriteChecksum.MARK.length; index++) {
            if (bytes[at + index] != WriteChecksum.MARK[index]) {
                return false;
            }
        }
        return true;
    }
}
