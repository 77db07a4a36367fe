package pinewick.selection;

/**
 * One part of a prompt, as listed in the {@code X-Pinewick-Prompt-Prefix} header.
 *
 * @param id the same in all requests that share the part
 * @param tokens its length in tokens
 */
public record PromptPart(long id, int tokens) {}
