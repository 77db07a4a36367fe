package pinewick.model;

/** Marker of typed internal messages. Implementations are immutable records, registered by their own modules. */
public interface Message {}
