// Package detection implements outlier detection for backend servers by
// comparing each server with its siblings, the other backend servers of the
// same service. It detects servers that are slow, fail, hang or return wrong
// responses while their connections work.
//
// The owner node of a backend server keeps a Window, which collects the results
// of requests and probes and summarizes them every 500 ms in a BackendStatus.
// The service coordinator (the home node in messages and metrics) keeps a
// Detector. For each report it compares latency, errors, wrong responses and
// the age of the oldest unfinished request with the median of the siblings, and
// adds the log-likelihood ratio of "faulty" to "healthy" to a cumulative sum
// (CUSUM) per kind of evidence. A few samples with strong evidence are
// therefore sufficient, single slow responses are not, and the score of a
// healthy server decreases again. The latency evidence is scaled with the
// median absolute deviation (MAD) of the log latencies.
//
// If more than half of the siblings are suspected, the cause is an overload of
// the service or a fault of the observer, and no server is classified as
// faulty. While a third of them have an elevated score, the classification is
// delayed. A server without a recent report is excluded from the comparison.
//
// All types are deterministic, start no goroutine and are not safe for
// concurrent use.
package detection
