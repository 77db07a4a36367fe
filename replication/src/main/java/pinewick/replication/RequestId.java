package pinewick.replication;

/**
 * Names one question that a process asked; every answer carries it back. So an answer to a question of an earlier life
 * of the process, or to one that is of no matter any more, is known as such.
 *
 * @param incarnation drawn at random when the asking process started
 * @param sequence rises with each question of that process
 */
public record RequestId(long incarnation, long sequence) {
    /** Of a message that asks nothing. */
    public static final RequestId NONE = new RequestId(0, 0);
}
