package pinewick.replication;

/**
 * Identifies one request of a process, and is repeated in the reply. It lets the process recognise and ignore replies
 * to obsolete requests and to requests of its earlier incarnations.
 *
 * @param incarnation drawn at random when the requesting process started
 * @param sequence number of the request within the incarnation, starting from 1
 */
public record RequestId(long incarnation, long sequence) {
    /** Id of a message that neither is a request nor answers one. */
    public static final RequestId NONE = new RequestId(0, 0);
}
