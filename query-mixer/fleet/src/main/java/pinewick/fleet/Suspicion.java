package pinewick.fleet;

/**
 * How long a suspect may stay silent before it is declared dead (Lifeguard, DSN 2018, section IV-B: the time shrinks
 * with independent confirmations). Unlike there, the time counts from the first ping left unanswered, and rumours carry
 * it: so all members come to the same end at nearly the same moment, and the news of the death need not spread first.
 */
final class Suspicion {
    private final MembershipSettings settings;

    Suspicion(MembershipSettings settings) {
        this.settings = settings;
    }

    /** How many accusers count at most: the first, and the confirmations that so many members can give. */
    int maxAccusers(int activeCount) {
        return 1 + requiredConfirmations(activeCount);
    }

    /** Among few members fewer can confirm: not the suspect, not the first accuser. */
    private int requiredConfirmations(int activeCount) {
        return Math.max(0, Math.min(settings.confirmations(), activeCount - 2));
    }

    /** Seconds of silence until death, by how many accuse it among how many that take part, the suspect with them. */
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
     * Seconds until a suspect is to be declared dead; 0 or less from then on. Danger: a rumour of silence that is older
     * than a word heard from the member itself must not kill it. Harm: where the members' clocks of rumours differ, a
     * death comes some milliseconds late.
     */
    double remainingSeconds(double now, Member suspect, int activeCount) {
        double silentSince = Math.max(suspect.silentSince, suspect.lastHeardAt);
        return silentSince + timeoutSeconds(suspect.accusers.length, activeCount) - now;
    }
}
