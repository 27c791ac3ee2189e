package admin

import (
	"time"

	"github.com/go-kit/log"

	"trefoildock.example/rules"
)

// Limits of the API.
const (
	// MaxBodyBytes bounds the body of a request without a rules file.
	MaxBodyBytes = 1 << 20
	// MaxFileBodyBytes bounds the body of a request with a rules file.
	MaxFileBodyBytes = 16 << 20
	// maxFileRequests bounds the requests with a rules file that are served at
	// the same time, because each of them can hold several times its body in memory.
	maxFileRequests = 1
	// maxReportedErrors bounds the faults listed in one answer.
	maxReportedErrors = 1000
	// maxTokenLength bounds the work of hashing a token, in bytes.
	maxTokenLength = 512
	// maxFileNameLength bounds the name of a rules file, in bytes.
	maxFileNameLength = 1024
	// maxCommentLength bounds the comment of a change, in bytes.
	maxCommentLength = 256
	// entryPage is the number of entries read from the log at a time. The store
	// may return fewer, so only an empty page is the end.
	entryPage = 256
	// defaultAuditLimit and maxAuditLimit are numbers of records in a page.
	defaultAuditLimit = 100
	maxAuditLimit     = 1000
	// maxAuditScan bounds the records read for one page with a filter.
	maxAuditScan = 10_000
	// commitAttempts bounds the attempts of a change that the server builds
	// itself, so that a race between operators need not be resolved by hand.
	commitAttempts = 5
)

// RefusalCounter counts requests that were answered with a problem.
type RefusalCounter interface {
	// CountRefusal counts one refusal with the code of its problem.
	CountRefusal(code string)
}

// Config configures the handler of the administration API.
type Config struct {
	// Store is the log of configuration changes. Required.
	Store Store
	// Cluster is the node. Required.
	Cluster Cluster
	// Operator returns the name of the operator with a token; it must compare in
	// constant time, as settings.Settings.Operator does. Required.
	Operator func(token string) (name string, ok bool)
	// Refusals counts refused requests. Default: not counted.
	Refusals RefusalCounter
	// NewKey generates a key. Default: rules.NewKey.
	NewKey func() (clearText string, digest rules.KeyDigest, err error)
	// Logger receives internal errors. Default: no log.
	Logger log.Logger
	// RequestTimeout bounds the work on one request. Default 20s.
	RequestTimeout time.Duration
	// PublishTimeout bounds the wait for the acceptance of a change. Default 5s.
	PublishTimeout time.Duration
}

// withDefaults returns the configuration with defaults in place of unset values.
func (c Config) withDefaults() Config {
	if c.NewKey == nil {
		c.NewKey = rules.NewKey
	}
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Refusals == nil {
		c.Refusals = noCounter{}
	}
	if c.RequestTimeout <= 0 {
		c.RequestTimeout = 20 * time.Second
	}
	if c.PublishTimeout <= 0 {
		c.PublishTimeout = 5 * time.Second
	}
	return c
}

// noCounter is the default RefusalCounter.
type noCounter struct{}

// CountRefusal does nothing.
func (noCounter) CountRefusal(string) {}
