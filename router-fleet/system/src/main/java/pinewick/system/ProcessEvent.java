package pinewick.system;

/** Requests from the platform to a running process. */
enum ProcessEvent {
    /** The settings file has changed (SIGHUP). */
    RELOAD_SETTINGS,
    /** The process has to stop (SIGTERM, SIGINT). */
    STOP
}
