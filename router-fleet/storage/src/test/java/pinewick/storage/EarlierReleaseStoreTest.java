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
 * This release opens a store that an earlier release wrote (revision 85990c0: {@value #CHANGES} changes, including a
 * snapshot), and the encoding of each record on disk is unchanged.
 */
class EarlierReleaseStoreTest {
    private static final int CHANGES = 260;
    private static final int ROUTES = 3;

    /** If set to the path of a directory, the test writes a store of this build there. */
    private static final String RECORD_DIRECTORY = System.getProperty("pinewick.record-store", "");

    @TempDir
    Path directory;

    @Test
    void opensAStoreOfAnEarlierReleaseWithItsVersionAndChanges() throws Exception {
        if (!RECORD_DIRECTORY.isEmpty()) {
            writeStore(Path.of(RECORD_DIRECTORY));
        }
        unpackStore();
        try (SingleController controller = new SingleController(directory)) {
            assertEquals(CHANGES, controller.read().orElseThrow().version());
            assertEquals(
                    CHANGES,
                    controller.accept(SampleChanges.update(CHANGES - 1, ROUTES)),
                    "a resent change gets the response of the first submission");
            assertInstanceOf(
                    ChangeOutcome.VersionConflict.class,
                    controller.submit(SampleChanges.replacement(CHANGES - 1, ROUTES)),
                    "a stale change is rejected");
            assertEquals(
                    CHANGES + 1, controller.accept(SampleChanges.update(CHANGES, ROUTES)), "a new change is accepted");
        }
    }

    @Test
    void encodesEveryRecordLikeTheEarlierRelease() throws IOException {
        Member firstMember = new Member("identity-a", new SocketAddress("10.0.0.1", 7_721));
        Member secondMember = new Member("identity-b", new SocketAddress("10.0.0.2", 7_722));
        EpochRecord record = new EpochRecord(
                new EpochNumber(7, "identity-a"),
                "identity-a",
                List.of("identity-a", "identity-b"),
                List.of(firstMember, secondMember),
                List.of(firstMember));
        StoredHead head =
                new StoredHead("identity-a", new EpochNumber(8, "identity-b"), record, new StateVersion(7, 42));
        StoredChange change = new StoredChange(new byte[] {1, 2, 3}, new ChangeKey(41, 42, "digest"));
        HexFormat hex = HexFormat.of();
        List<String> encodedRecords = List.of(
                "head " + hex.formatHex(StoredFormat.writeHead(head)),
                "change " + hex.formatHex(StoredFormat.writeChange(change)));
        if (!RECORD_DIRECTORY.isEmpty()) {
            Files.write(Path.of(RECORD_DIRECTORY).resolveSibling("disk-record-bytes.txt"), encodedRecords);
        }
        try (InputStream in = EarlierReleaseStoreTest.class.getResourceAsStream("/disk-record-bytes.txt")) {
            assertEquals(
                    new String(in.readAllBytes(), StandardCharsets.UTF_8)
                            .lines()
                            .toList(),
                    encodedRecords);
        }
    }

    private static void writeStore(Path storeDirectory) throws Exception {
        try (SingleController controller = new SingleController(storeDirectory)) {
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
