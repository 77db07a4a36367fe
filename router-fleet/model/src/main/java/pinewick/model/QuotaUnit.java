package pinewick.model;

/** What the quota of a tenant counts. */
public enum QuotaUnit {
    /** Each request counts as one. */
    REQUESTS,
    /** Each request counts as many as it has prompt and answer tokens. */
    TOKENS
}
