package pinewick;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests which masks of ignored signals include SIGHUP. */
class SighupPreconditionTest {
    private static String status(String mask) {
        return "Name:\tjava\nSigBlk:\t0000000000000001\nSigIgn:\t" + mask + "\nSigCgt:\t0000000000000001\n";
    }

    @Test
    void onlyTheLowestBitOfTheIgnoredMaskIsSighup() {
        assertTrue(SighupPrecondition.ignoresHangUp(status("0000000000000001")));
        assertTrue(SighupPrecondition.ignoresHangUp(status("0000000080000001")));
        assertTrue(SighupPrecondition.ignoresHangUp(status("8000000000000001")));
        assertFalse(SighupPrecondition.ignoresHangUp(status("0000000000000000")));
        assertFalse(SighupPrecondition.ignoresHangUp(status("0000000000000004")));
        assertFalse(SighupPrecondition.ignoresHangUp(status("8000000080000000")));
    }
}
