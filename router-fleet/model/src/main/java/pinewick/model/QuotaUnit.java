package pinewick.model;

/** The unit of a tenant's quota. */
public enum QuotaUnit {
    /** Each request counts as one. */
    REQUESTS,
    /** Each request counts as the number of its prompt and completion tokens. */
    TOKENS
}
