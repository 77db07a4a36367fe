package pinewick.system;

/** What the platform asks of a running process. */
enum ProcessEvent {
    /** The settings file has changed (SIGHUP). */
    REREAD_SETTINGS,
    /** The process is to end (SIGTERM, SIGINT). */
    STOP
}
