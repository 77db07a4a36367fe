package pinewick.dataplane;

/** Names of the header fields used between clients, routers and replicas. */
final class HeaderNames {
    static final String REQUEST_ID = "X-Pinewick-Request-Id";
    static final String DEADLINE_MS = "X-Pinewick-Deadline-Ms";
    static final String EXPECTED_INSTANCE = "X-Pinewick-Expected-Instance";
    static final String SERVER_SIGNATURE = "X-Pinewick-Server-Signature";
    static final String NOT_EXECUTED = "X-Pinewick-Not-Executed";
    static final String SERVING_STAGE = "X-Pinewick-Serving-Stage";
    static final String MODEL = "X-Pinewick-Model";
    static final String TOKEN_COUNT = "X-Pinewick-Token-Count";
    static final String PROMPT_PREFIX = "X-Pinewick-Prompt-Prefix";
    static final String KV_FROM = "Kv-From";
    static final String LAST_EVENT_ID = "Last-Event-Id";
    static final String PRIORITY = "Priority";
    static final String AUTHORIZATION = "Authorization";
    static final String TENANT = "X-Pinewick-Tenant";

    private HeaderNames() {}
}
