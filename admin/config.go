package admin

import (
	"time"

	"github.com/go-kit/log"

	"trefoildock.example/rules"
)

// Limits of the API.
const (
	// MaxBodyBytes limits the body of a request without a rules file.
	MaxBodyBytes = 1 << 20
	// MaxFileBodyBytes limits the body of a request with a rules file.
	MaxFileBodyBytes = 16 << 20
	// maxConcurrentFileRequests limits the number of concurrent requests with a rules
	// file, because each of them can use several times its body size of memory.
	maxConcurrentFileRequests = 1
	// maxReportedErrors limits the number of rule errors in one response.
	maxReportedErrors = 1000
	// maxTokenLength limits a token, in bytes, and with it the cost of hashing it.
	maxTokenLength = 512
	// maxFileNameLength limits the name of a rules file, in bytes.
	maxFileNameLength = 1024
	// maxCommentLength limits the comment of a change, in bytes.
	maxCommentLength = 256
	// logPageEntries is the number of entries or audit records requested from the store
	// at a time. The store may return fewer, so only an empty page marks the end.
	logPageEntries = 256
	// defaultAuditLimit and maxAuditLimit are numbers of records per page.
	defaultAuditLimit = 100
	maxAuditLimit     = 1000
	// maxAuditScanRecords limits the number of records read for one filtered page.
	maxAuditScanRecords = 10_000
	// maxCommitAttempts limits the attempts to commit a change that the server builds
	// itself. It is retried after a conflict with a concurrent change, so that operators
	// do not have to retry it.
	maxCommitAttempts = 5
)

// RefusalCounter counts requests that are rejected with a problem response.
type RefusalCounter interface {
	// CountRefusal counts one rejected request by its problem code.
	CountRefusal(code string)
}

// Config configures the handler of the admin API.
type Config struct {
	// Store is the log of configuration changes. Required.
	Store Store
	// Cluster is the node that serves the API. Required.
	Cluster Cluster
	// Operator returns the name of the operator with the given token. It must compare
	// tokens in constant time, as settings.Settings.Operator does. Required.
	Operator func(token string) (name string, ok bool)
	// Refusals counts rejected requests. Default: no counting.
	Refusals RefusalCounter
	// NewKey generates a key. Default: rules.NewKey.
	NewKey func() (plaintext string, digest rules.KeyDigest, err error)
	// Logger logs internal errors. Default: no logging.
	Logger log.Logger
	// RequestTimeout limits the handling of one request. Default 20s.
	RequestTimeout time.Duration
	// PublishTimeout limits the wait for the acceptance of a change. Default 5s.
	PublishTimeout time.Duration
}

// withDefaults returns a copy of the configuration with defaults for unset fields.
func (c Config) withDefaults() Config {
	if c.NewKey == nil {
		c.NewKey = rules.NewKey
	}
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Refusals == nil {
		c.Refusals = noopRefusalCounter{}
	}
	if c.RequestTimeout <= 0 {
		c.RequestTimeout = 20 * time.Second
	}
	if c.PublishTimeout <= 0 {
		c.PublishTimeout = 5 * time.Second
	}
	return c
}

// noopRefusalCounter is the default RefusalCounter.
type noopRefusalCounter struct{}

// CountRefusal does nothing.
func (noopRefusalCounter) CountRefusal(string) {}
