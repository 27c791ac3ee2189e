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
	// maxResponseBytes limits a response body; the largest one is a complete configuration.
	maxResponseBytes = 256 << 20
	// defaultMaxAttempts limits the attempts of a change whose response is lost.
	defaultMaxAttempts = 4
	// defaultInitialBackoff is the delay before the first retry; it doubles with
	// each retry.
	defaultInitialBackoff = 250 * time.Millisecond
)

// ClientConfig configures a client.
type ClientConfig struct {
	// URL is the address of the admin listener, such as "http://127.0.0.1:7402". Required.
	URL string
	// Token is the operator's token.
	Token string
	// HTTPClient sends the requests. Default: a client without proxy, redirects or timeout.
	HTTPClient *http.Client
	// MaxAttempts limits the attempts of a change whose response is lost. Default 4.
	MaxAttempts int
	// InitialBackoff is the delay before the first retry; it doubles with each retry.
	// Default 250ms.
	InitialBackoff time.Duration
}

// Client calls the admin API. Its methods return a *ProblemError if the
// server rejects the request, and an *UnreachableError if no response is received.
// A change whose response is lost is retried with the same commit id.
type Client struct {
	config ClientConfig
	base   string
}

// UnreachableError reports that no response to a request was received.
type UnreachableError struct {
	// MayHaveRun reports whether the server may have received the request.
	MayHaveRun bool
	// Err is the underlying error.
	Err error
}

// Error returns the underlying error and whether the request may have run.
func (e *UnreachableError) Error() string {
	if e.MayHaveRun {
		return "no answer, the request may have run: " + e.Err.Error()
	}
	return "no connection: " + e.Err.Error()
}

// Unwrap returns the underlying error.
func (e *UnreachableError) Unwrap() error { return e.Err }

// NewClient returns a client, or an error if the URL is not supported.
func NewClient(config ClientConfig) (*Client, error) {
	base, err := url.Parse(config.URL)
	if err != nil || base.Scheme != "http" && base.Scheme != "https" || base.Host == "" || base.RawQuery != "" || base.User != nil {
		return nil, errors.Newf("server %q: expected an http or https URL without user and query", config.URL)
	}
	if config.HTTPClient == nil {
		config.HTTPClient = defaultHTTPClient()
	}
	if config.MaxAttempts <= 0 {
		config.MaxAttempts = defaultMaxAttempts
	}
	if config.InitialBackoff <= 0 {
		config.InitialBackoff = defaultInitialBackoff
	}
	return &Client{config: config, base: strings.TrimSuffix(config.URL, "/")}, nil
}

// defaultHTTPClient returns a client without proxy and redirects, so that the token
// is sent only to the configured server.
func defaultHTTPClient() *http.Client {
	return &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 30 * time.Second},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// call sends one request and decodes its response.
func (c *Client) call(ctx context.Context, method, path string, body, dst any) error {
	var payload []byte
	if body != nil {
		var err error
		if payload, err = json.Marshal(body); err != nil {
			return errors.Wrap(err, "encode request")
		}
	}
	return c.send(ctx, method, path, payload, dst)
}

// sendChange sends a request with a commit id and retries it with exponential backoff
// while its response is lost.
func (c *Client) sendChange(ctx context.Context, method, path string, body, dst any) error {
	payload, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	backoff, outcomeUnknown := c.config.InitialBackoff, false
	for attempt := 1; ; attempt++ {
		err := c.send(ctx, method, path, payload, dst)
		mayHaveRun, retryable := classifyFailure(err)
		outcomeUnknown = outcomeUnknown || mayHaveRun
		if !outcomeUnknown || !retryable || attempt == c.config.MaxAttempts {
			return markMayHaveRun(err, outcomeUnknown)
		}
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
			return markMayHaveRun(err, outcomeUnknown)
		}
		backoff *= 2
	}
}

// classifyFailure reports whether the request may have run although its outcome is
// unknown, and whether a retry can determine the outcome.
func classifyFailure(err error) (mayHaveRun, retryable bool) {
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

// markMayHaveRun marks err as an unknown outcome if an earlier attempt may have run
// and the last attempt did not reach the server or its platform.
func markMayHaveRun(err error, mayHaveRun bool) error {
	if !mayHaveRun || err == nil {
		return err
	}
	if _, retryable := classifyFailure(err); !retryable {
		return err
	}
	var unreachable *UnreachableError
	if errors.As(err, &unreachable) {
		err = unreachable.Err
	}
	return &UnreachableError{MayHaveRun: true, Err: err}
}

func (c *Client) send(ctx context.Context, method, path string, payload []byte, dst any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(payload))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	// Without GetBody, net/http cannot replay a body and does not retry a change on
	// its own. Only Client.sendChange retries changes.
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
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return &UnreachableError{MayHaveRun: true, Err: err}
	}
	if len(responseBody) > maxResponseBytes {
		return errors.Newf("the answer is larger than %d bytes", maxResponseBytes)
	}
	return decodeResponse(response, responseBody, dst)
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// withoutURL removes the method and URL that net/http adds to an error.
func withoutURL(err error) error {
	var wrapped *url.Error
	if errors.As(err, &wrapped) {
		return wrapped.Err
	}
	return err
}

func decodeResponse(response *http.Response, body []byte, dst any) error {
	if response.StatusCode >= 200 && response.StatusCode < 300 {
		if err := json.Unmarshal(body, dst); err != nil {
			return errors.Wrap(err, "decode the answer of the server")
		}
		return nil
	}
	problem := &ProblemError{}
	if err := json.Unmarshal(body, problem); err != nil || problem.Status != response.StatusCode {
		return errors.Newf("unexpected answer of the server: %s", response.Status)
	}
	return problem
}
