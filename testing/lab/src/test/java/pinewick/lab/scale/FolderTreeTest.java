package pinewick.lab.scale;

import static org.junit.jupiter.api.Assertions.assertFalse;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class FolderTreeTest {
    @TempDir
    Path parent;

    @Test
    void deletesAFolderWithItsContents() throws Exception {
        Path folder = parent.resolve("folder");
        Files.createDirectories(folder.resolve("inner"));
        Files.writeString(folder.resolve("inner").resolve("file"), "x");

        FolderTree.delete(folder);
        FolderTree.delete(folder);

        assertFalse(Files.exists(folder));
    }
}
