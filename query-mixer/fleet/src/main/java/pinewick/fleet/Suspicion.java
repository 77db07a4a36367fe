package pinewick.fleet;

/**
 * How long a suspect may stay silent before it is declared dead (Lifeguard, DSN 2018, section IV-B: the time shrinks
 * with independent confirmations). Unlike there, the time counts from the first ping left unanswered, and rumours carry
 * it: so all members come to the same end at nearly the same moment, and the news of the death need not spread first.
 */
final class Suspicion {
    private final MembershipSettings terms;

    Suspicion(MembershipSettings terms) {
        this.terms = terms;
    }

    /** How many accusers count at most: the first, and the confirmations that so many members can give. */
    int accusersMost(int takingPart) {
        return 1 + needed(takingPart);
    }

    /** Among few members fewer can confirm: not the suspect, not the first accuser. */
    private int needed(int takingPart) {
        return Math.max(0, Math.min(terms.confirmations(), takingPart - 2));
    }

    /** Seconds of silence until death, by how many accuse it among how many that take part, the suspect with them. */
    double allowed(int accusers, int takingPart) {
        int needed = needed(takingPart);
        if (needed == 0) {
            return terms.silence();
        }
        double confirmed = Math.max(0, Math.min(needed, accusers - 1));
        return terms.silenceMost()
                - (terms.silenceMost() - terms.silence()) * Math.log(confirmed + 1) / Math.log(needed + 1);
    }

    /**
     * Seconds until a suspect is to be declared dead; 0 or less from then on. Danger: a rumour of silence that is older
     * than a word heard from the member itself must not kill it. Harm: where the members' clocks of rumours differ, a
     * death comes some milliseconds late.
     */
    double left(double now, Member suspect, int takingPart) {
        double silent = Math.max(suspect.silentSince, suspect.heardAt);
        return silent + allowed(suspect.accusers.length, takingPart) - now;
    }
}
