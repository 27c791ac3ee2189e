// Package detection finds backend servers that fail quietly by comparing them
// with their siblings.
//
// The owner of a backend server keeps a Window, which collects the results of
// requests and probes and summarises them every 500 ms as a BackendStatus. The
// service home keeps a Detector. For each report it compares latency, errors,
// wrong answers and the age of the oldest unfinished request with the median of
// the siblings and adds the log-likelihood ratio "faulty" against "healthy" to a
// cumulative sum (CUSUM) per kind of evidence. Few samples with strong evidence
// therefore suffice, single slow answers do not, and a healthy server loses its
// score again. The latency evidence is scaled with the median absolute deviation
// (MAD) of the log latencies.
//
// If more than half of the siblings look bad, the service is overloaded or the
// viewpoint is at fault, and no server is judged bad. While a third of them show
// some evidence, the decision waits for the others. A server without a recent
// report is unknown and takes no part in the comparison.
//
// All types are deterministic, start no goroutine and are not safe for
// concurrent use.
package detection
