package admin

import (
	"context"
	"net/http"
	"net/url"
)

// Configuration returns the current configuration.
func (c *Client) Configuration(ctx context.Context) (ConfigurationResponse, error) {
	var r ConfigurationResponse
	err := c.call(ctx, http.MethodGet, pathConfiguration, nil, &r)
	return r, err
}

// Check validates a rules file.
func (c *Client) Check(ctx context.Context, file RulesFile) (CheckResponse, error) {
	var r CheckResponse
	err := c.call(ctx, http.MethodPost, pathCheck, file, &r)
	return r, err
}

// Diff compares a rules file with the current configuration.
func (c *Client) Diff(ctx context.Context, file RulesFile) (DiffResponse, error) {
	var r DiffResponse
	err := c.call(ctx, http.MethodPost, pathDiff, file, &r)
	return r, err
}

// ApplyFile replaces the version that the client read by a rules file.
func (c *Client) ApplyFile(ctx context.Context, request FileRequest) (ChangeResponse, error) {
	var r ChangeResponse
	err := c.sendChange(ctx, http.MethodPut, pathConfiguration, request, &r)
	return r, err
}

// ApplyDelta applies a delta to the version that the client read.
func (c *Client) ApplyDelta(ctx context.Context, request DeltaRequest) (ChangeResponse, error) {
	var r ChangeResponse
	err := c.sendChange(ctx, http.MethodPost, pathDeltas, request, &r)
	return r, err
}

// SetZone takes an availability zone out of service or back into service.
func (c *Client) SetZone(ctx context.Context, name string, request StateRequest) (ChangeResponse, error) {
	var r ChangeResponse
	err := c.sendChange(ctx, http.MethodPut, pathZones+url.PathEscape(name), request, &r)
	return r, err
}

// SetBackendServer takes a backend server out of service or back into service.
func (c *Client) SetBackendServer(ctx context.Context, name string, request StateRequest) (ChangeResponse, error) {
	var r ChangeResponse
	err := c.sendChange(ctx, http.MethodPut, pathBackendServers+url.PathEscape(name), request, &r)
	return r, err
}

// IssueKey generates a key for a team. If the response is lost, a retry returns a
// problem with CodeKeyAlreadyIssued and the digest of the key to withdraw.
func (c *Client) IssueKey(ctx context.Context, team string, request IssueRequest) (IssueResponse, error) {
	var r IssueResponse
	err := c.sendChange(ctx, http.MethodPost, pathTeams+url.PathEscape(team)+"/keys", request, &r)
	return r, err
}

// WithdrawKeys withdraws one key, or all keys of a team.
func (c *Client) WithdrawKeys(ctx context.Context, request WithdrawRequest) (ChangeResponse, error) {
	var r ChangeResponse
	err := c.sendChange(ctx, http.MethodPost, pathWithdrawals, request, &r)
	return r, err
}

// Status returns the node's view of the cluster.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var r Status
	err := c.call(ctx, http.MethodGet, pathStatus, nil, &r)
	return r, err
}

// Audit returns one page of the audit trail.
func (c *Client) Audit(ctx context.Context, query AuditQuery) (AuditResponse, error) {
	path := pathAudit
	if values := query.values(); len(values) > 0 {
		path += "?" + values.Encode()
	}
	var r AuditResponse
	err := c.call(ctx, http.MethodGet, path, nil, &r)
	return r, err
}
