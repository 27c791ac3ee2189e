package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxResponseBytes bounds an answer; the largest one is a whole configuration.
	maxResponseBytes = 256 << 20
	// defaultAttempts bounds the attempts of a change whose answer is lost.
	defaultAttempts = 4
	// defaultBackoff is the wait before the first repeat; it doubles.
	defaultBackoff = 250 * time.Millisecond
)

// ClientConfig configures a client.
type ClientConfig struct {
	// URL is the address of the admin listener, such as "http://127.0.0.1:7402". Required.
	URL string
	// Token is the operator's token.
	Token string
	// HTTPClient sends the requests. Default: a client without proxy, redirects and timeout.
	HTTPClient *http.Client
	// Attempts bounds the attempts of a change whose answer is lost. Default 4.
	Attempts int
	// Backoff is the wait before the first repeat; it doubles. Default 250ms.
	Backoff time.Duration
}

// Client calls the administration API. Its methods return a *ProblemError if the
// server refused the request, and an *UnreachableError if there was no answer.
// A change whose answer is lost is repeated with the same commit id.
type Client struct {
	config ClientConfig
	base   string
}

// UnreachableError means that a request got no answer.
type UnreachableError struct {
	// MayHaveRun is true if the server may have received the request.
	MayHaveRun bool
	// Err is the cause.
	Err error
}

// Error returns the cause and whether the request may have run.
func (e *UnreachableError) Error() string {
	if e.MayHaveRun {
		return "no answer, the request may have run: " + e.Err.Error()
	}
	return "no connection: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// NewClient returns a client, or an error if the URL is unusable.
func NewClient(config ClientConfig) (*Client, error) {
	base, err := url.Parse(config.URL)
	if err != nil || base.Scheme != "http" && base.Scheme != "https" || base.Host == "" || base.RawQuery != "" || base.User != nil {
		return nil, errors.Newf("server %q: expected an http or https URL without user and query", config.URL)
	}
	if config.HTTPClient == nil {
		config.HTTPClient = defaultHTTPClient()
	}
	if config.Attempts <= 0 {
		config.Attempts = defaultAttempts
	}
	if config.Backoff <= 0 {
		config.Backoff = defaultBackoff
	}
	return &Client{config: config, base: strings.TrimSuffix(config.URL, "/")}, nil
}

// defaultHTTPClient returns a client that sends the token to no other server
// than the configured one.
func defaultHTTPClient() *http.Client {
	return &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 30 * time.Second},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// call sends one request and decodes its answer.
func (c *Client) call(ctx context.Context, method, path string, body, into any) error {
	var payload []byte
	if body != nil {
		var err error
		if payload, err = json.Marshal(body); err != nil {
			return errors.Wrap(err, "encode request")
		}
	}
	return c.send(ctx, method, path, payload, into)
}

// change sends a request with a commit id and repeats it while its answer is lost.
func (c *Client) change(ctx context.Context, method, path string, body, into any) error {
	payload, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	backoff, lost := c.config.Backoff, false
	for attempt := 1; ; attempt++ {
		err := c.send(ctx, method, path, payload, into)
		mayHaveRun, retryable := lostAnswer(err)
		lost = lost || mayHaveRun
		if !lost || !retryable || attempt == c.config.Attempts {
			return markLost(err, lost)
		}
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
			return markLost(err, lost)
		}
		backoff *= 2
	}
}

// lostAnswer reports whether the request may have run although there is no
// answer, and whether a repeat can tell more.
func lostAnswer(err error) (mayHaveRun, retryable bool) {
	var unreachable *UnreachableError
	if errors.As(err, &unreachable) {
		return unreachable.MayHaveRun, true
	}
	var problem *ProblemError
	if errors.As(err, &problem) {
		return problem.Code == CodeOutcomeUnknown, problem.Status == http.StatusServiceUnavailable
	}
	return false, false
}

// markLost keeps the uncertainty of an earlier attempt if the last one did not
// reach the server or its platform.
func markLost(err error, lost bool) error {
	if !lost || err == nil {
		return err
	}
	if _, retryable := lostAnswer(err); !retryable {
		return err
	}
	var unreachable *UnreachableError
	if errors.As(err, &unreachable) {
		err = unreachable.Err
	}
	return &UnreachableError{MayHaveRun: true, Err: err}
}

func (c *Client) send(ctx context.Context, method, path string, payload []byte, into any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(payload))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	// A body that can be read again would let net/http repeat the request by
	// itself; repeats are decided by change.
	request.GetBody = nil
	if payload != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if c.config.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.config.Token)
	}
	response, err := c.config.HTTPClient.Do(request)
	if err != nil {
		return &UnreachableError{MayHaveRun: !isDialError(err), Err: withoutURL(err)}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return &UnreachableError{MayHaveRun: true, Err: err}
	}
	if len(text) > maxResponseBytes {
		return errors.Newf("the answer is larger than %d bytes", maxResponseBytes)
	}
	return decodeResponse(response, text, into)
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// withoutURL strips the method and URL that net/http adds to an error.
func withoutURL(err error) error {
	var wrapped *url.Error
	if errors.As(err, &wrapped) {
		return wrapped.Err
	}
	return err
}

func decodeResponse(response *http.Response, text []byte, into any) error {
	if response.StatusCode >= 200 && response.StatusCode < 300 {
		if err := json.Unmarshal(text, into); err != nil {
			return errors.Wrap(err, "decode the answer of the server")
		}
		return nil
	}
	problem := &ProblemError{}
	if err := json.Unmarshal(text, problem); err != nil || problem.Status != response.StatusCode {
		return errors.Newf("unexpected answer of the server: %s", response.Status)
	}
	return problem
}
