package pinewick.storage;

import jetbrains.exodus.OutOfDiskSpaceException;
import pinewick.replication.StorageException.Kind;

/** Distinguishes a full disk from a failing disk. */
final class DiskErrorClassifier {
    private static final String NO_SPACE = "No space left on device";

    private DiskErrorClassifier() {}

    static Kind kindOf(Throwable error) {
        for (Throwable cause = error; cause != null; cause = cause.getCause()) {
            String message = cause.getMessage();
            if (cause instanceof OutOfDiskSpaceException || (message != null && message.contains(NO_SPACE))) {
                return Kind.FULL;
            }
        }
        return Kind.FAILED;
    }
}
