/**
 * Decisions of the data plane without I/O: which replicas serve a request ({@link pinewick.selection.ReplicaSelector}),
 * the measurements behind the score ({@link pinewick.selection.ReplicaMeasurements}), estimates of the replicas' prefix
 * caches ({@link pinewick.selection.PrefixCacheEstimates}), admission control, call priorities and the retry budget.
 *
 * <p>Threading: nothing here is thread-safe; the owner calls it from one executor. Time (milliseconds of a monotonic
 * clock) and randomness are passed in, so that tests and simulations are reproducible.
 */
package pinewick.selection;
