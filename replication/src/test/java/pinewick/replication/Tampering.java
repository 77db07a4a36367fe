package pinewick.replication;

import pinewick.replication.ReplicationMessages.Accept;

/** Breaks the protocol on its way, for the variants that cannot be had otherwise. */
final class Tampering {
    private Tampering() {}

    static void apply(World world) {
        if (world.variant == BrokenVariant.FORGETS_PREVIOUS_MEMBERS) {
            world.tamper = (sender, message) ->
                    message instanceof Accept accept ? new Accept(accept.record().settled()) : message;
        }
    }
}
