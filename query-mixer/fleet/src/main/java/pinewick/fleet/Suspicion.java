package pinewick.fleet;

/**
 * Time that a suspect may stay silent before it is declared dead (Lifeguard, DSN 2018, section IV-B: the timeout
 * shrinks with independent confirmations). Unlike in Lifeguard, the time counts from the first unanswered ping,
 * which gossip carries; so all members reach the timeout at nearly the same moment and do not wait for the death
 * to be gossiped.
 */
final class Suspicion {
    private final MembershipSettings settings;

    Suspicion(MembershipSettings settings) {
        this.settings = settings;
    }

    /**
     * Maximum number of accusers that count: the first one, and the confirmations that so many active members can
     * give.
     */
    int maxAccusers(int activeCount) {
        return 1 + requiredConfirmations(activeCount);
    }

    /** In a small fleet fewer members can confirm: neither the suspect nor the first accuser counts. */
    private int requiredConfirmations(int activeCount) {
        return Math.max(0, Math.min(settings.confirmations(), activeCount - 2));
    }

    /**
     * Seconds of silence until a suspect is declared dead, by the number of accusers and of active members, the
     * suspect included.
     */
    double timeoutSeconds(int accusers, int activeCount) {
        int requiredConfirmations = requiredConfirmations(activeCount);
        if (requiredConfirmations == 0) {
            return settings.minSilenceSeconds();
        }
        double confirmed = Math.max(0, Math.min(requiredConfirmations, accusers - 1));
        return settings.maxSilenceSeconds()
                - (settings.maxSilenceSeconds() - settings.minSilenceSeconds())
                        * Math.log(confirmed + 1)
                        / Math.log(requiredConfirmations + 1);
    }

    /**
     * Seconds until a suspect is to be declared dead; 0 or less once it is due. The silence starts no earlier than
     * the last datagram from the member itself. Without this, gossip about an older silence could declare it dead;
     * the cost is that a death is declared some milliseconds late where the members hold different times.
     */
    double remainingSeconds(double now, Member suspect, int activeCount) {
        double silentSince = Math.max(suspect.silentSince, suspect.lastHeardAt);
        return silentSince + timeoutSeconds(suspect.accusers.length, activeCount) - now;
    }
}
