package pinewick.system;

import com.google.common.flogger.FluentLogger;

/** Plays a short life of both programs, so that their classes are loaded and can be written to an archive. */
final class Rehearsal {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /** Plays it and returns the exit code. */
    int run() {
        LogSetup.install();
        logger.atInfo().log("rehearsal: nothing to play yet");
        return ProgramRunner.DONE;
    }
}
