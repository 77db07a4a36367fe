package pinewick.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.List;
import java.util.zip.ZipEntry;
import java.util.zip.ZipInputStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pinewick.model.SocketAddress;
import pinewick.replication.ChangeKey;
import pinewick.replication.ChangeOutcome;
import pinewick.replication.EpochNumber;
import pinewick.replication.EpochRecord;
import pinewick.replication.Member;
import pinewick.replication.StateVersion;
import pinewick.replication.StoredChange;
import pinewick.replication.StoredHead;

/**
 * A disk that an earlier release wrote (revision 85990c0: {@value #CHANGES} changes, with a snapshot among them) is
 * opened by this one, and the bytes of each record on disk are the same.
 */
class EarlierReleaseStoreTest {
    private static final int CHANGES = 260;
    private static final int ROUTES = 3;

    /** Set to a folder's path, a store of this build is written there. */
    private static final String RECORD_TO = System.getProperty("pinewick.record-store", "");

    @TempDir
    Path directory;

    @Test
    void aStoreOfTheEarlierReleaseIsOpenedAtTheSameVersionWithItsChanges() throws Exception {
        if (!RECORD_TO.isEmpty()) {
            writeStore(Path.of(RECORD_TO));
        }
        unpackStore();
        try (SingleController controller = new SingleController(directory)) {
            assertEquals(CHANGES, controller.read().orElseThrow().version());
            assertEquals(
                    CHANGES,
                    controller.accept(SampleChanges.update(CHANGES - 1, ROUTES)),
                    "a resent change is answered as the first time");
            assertInstanceOf(
                    ChangeOutcome.VersionConflict.class,
                    controller.submit(SampleChanges.replacement(CHANGES - 1, ROUTES)),
                    "a stale change is refused");
            assertEquals(
                    CHANGES + 1, controller.accept(SampleChanges.update(CHANGES, ROUTES)), "a new change is accepted");
        }
    }

    @Test
    void everyRecordOnDiskHasTheBytesOfTheEarlierRelease() throws IOException {
        Member first = new Member("identity-a", new SocketAddress("10.0.0.1", 7_721));
        Member second = new Member("identity-b", new SocketAddress("10.0.0.2", 7_722));
        EpochRecord record = new EpochRecord(
                new EpochNumber(7, "identity-a"),
                "identity-a",
                List.of("identity-a", "identity-b"),
                List.of(first, second),
                List.of(first));
        StoredHead head =
                new StoredHead("identity-a", new EpochNumber(8, "identity-b"), record, new StateVersion(7, 42));
        StoredChange change = new StoredChange(new byte[] {1, 2, 3}, new ChangeKey(41, 42, "digest"));
        HexFormat hex = HexFormat.of();
        List<String> written = List.of(
                "head " + hex.formatHex(StoredFormat.writeHead(head)),
                "change " + hex.formatHex(StoredFormat.writeChange(change)));
        if (!RECORD_TO.isEmpty()) {
            Files.write(Path.of(RECORD_TO).resolveSibling("disk-record-bytes.txt"), written);
        }
        try (InputStream in = EarlierReleaseStoreTest.class.getResourceAsStream("/disk-record-bytes.txt")) {
            assertEquals(
                    new String(in.readAllBytes(), StandardCharsets.UTF_8)
                            .lines()
                            .toList(),
                    written);
        }
    }

    private static void writeStore(Path folder) throws Exception {
        try (SingleController controller = new SingleController(folder)) {
            controller.accept(SampleChanges.replacement(0, ROUTES));
            for (long version = 1; version < CHANGES; version++) {
                controller.accept(SampleChanges.update(version, ROUTES));
            }
        }
    }

    private void unpackStore() throws IOException {
        try (ZipInputStream zip =
                new ZipInputStream(EarlierReleaseStoreTest.class.getResourceAsStream("/store-85990c0.zip"))) {
            for (ZipEntry entry = zip.getNextEntry(); entry != null; entry = zip.getNextEntry()) {
                Path target = directory.resolve(entry.getName());
                Files.createDirectories(target.getParent());
                Files.copy(zip, target);
            }
        }
    }
}
