package admin

import (
	"context"
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"

	"trefoildock.example/configstore"
	"trefoildock.example/rules"
)

// Actions recorded in the audit trail. The state is appended to the two prefixes.
const (
	actionApplyFile     = "apply file"
	actionApplyDelta    = "apply delta"
	actionZonePrefix    = "zone "
	actionBackendPrefix = "backend "
	actionIssue         = "key issue"
	actionWithdraw      = "key withdraw"
)

// deltaBuilder returns the delta of a change against a configuration.
type deltaBuilder func(*rules.Config) (rules.Delta, error)

// change is one requested change of the configuration.
type change struct {
	Change
	action   string
	operator string
	// readVersion is the version that the client read. If it is nil, the server
	// builds the change against the head and retries it after a conflict.
	readVersion *uint64
	build       deltaBuilder
	// matchesDelta reports whether a committed delta results from this change. Default:
	// build returns the same delta for the configuration before the commit.
	matchesDelta func(rules.Delta) bool
}

// commit commits a change, or finds its earlier commit in the log, and waits until
// the change is accepted.
func (h *handler) commit(ctx context.Context, c change) (ChangeResponse, error) {
	if err := c.validate(); err != nil {
		return ChangeResponse{}, err
	}
	for attempt := 1; ; attempt++ {
		head, err := h.config.Store.LoadConfig(ctx)
		if err != nil {
			return ChangeResponse{}, err
		}
		response, err := h.tryCommit(ctx, c, head)
		var conflict *configstore.ConflictError
		if c.readVersion != nil || attempt == maxCommitAttempts || !errors.As(err, &conflict) {
			return response, err
		}
	}
}

// tryCommit makes one attempt to commit a change against the head. If the change
// conflicts, is invalid or has no effect, an earlier request with this commit id may
// have committed it already, so the log is searched for the commit id first.
func (h *handler) tryCommit(ctx context.Context, c change, head *configstore.ConfigState) (ChangeResponse, error) {
	if c.readVersion != nil && *c.readVersion != head.Version {
		return h.earlierResultOr(ctx, c, head, failWith(&configstore.ConflictError{ReadVersion: *c.readVersion, HeadVersion: head.Version}))
	}
	delta, err := canonicalDelta(head.Config, c.build)
	if err != nil {
		return h.earlierResultOr(ctx, c, head, failWith(err))
	}
	if delta.Empty() {
		return h.earlierResultOr(ctx, c, head, func() (ChangeResponse, error) { return h.unchangedResult(ctx, c, head.Version) })
	}
	version, err := h.config.Store.CommitConfig(ctx, configstore.ConfigCommit{
		ID:          c.CommitID,
		ReadVersion: head.Version,
		Delta:       delta,
		Operator:    c.operator,
		Requester:   c.Comment,
		Action:      c.action,
	})
	if errors.Is(err, configstore.ErrCommitIDReused) {
		return h.resolveReusedCommitID(ctx, c, err)
	}
	if err != nil {
		return ChangeResponse{}, err
	}
	entry := configstore.ConfigEntry{Version: version, CommitID: c.CommitID, Delta: delta}
	return h.publishResult(ctx, entry, version != head.Version+1), nil
}

// unchangedResult returns the result of a change without effect. The current version may
// have been committed recently without a quorum, so its acceptance is included.
func (h *handler) unchangedResult(ctx context.Context, c change, version uint64) (ChangeResponse, error) {
	response := ChangeResponse{Version: version, CommitID: c.CommitID}
	if version == 0 {
		return response, nil
	}
	entries, err := h.readEntries(ctx, version-1, version)
	if err != nil {
		return ChangeResponse{}, err
	}
	acceptance := h.publish(ctx, entries[0])
	response.Acceptance = &acceptance
	return response, nil
}

// resultFunc returns the result of a change.
type resultFunc func() (ChangeResponse, error)

// failWith returns a resultFunc that returns an error.
func failWith(err error) resultFunc {
	return func() (ChangeResponse, error) { return ChangeResponse{}, err }
}

// earlierResultOr returns the result of an earlier request with this commit id, or the
// result of fallback if there is none.
func (h *handler) earlierResultOr(ctx context.Context, c change, head *configstore.ConfigState, fallback resultFunc) (ChangeResponse, error) {
	found, err := h.findCommit(ctx, c.CommitID, head)
	if err != nil {
		return ChangeResponse{}, err
	}
	if found == nil {
		return fallback()
	}
	if !c.matchesCommit(found) {
		return ChangeResponse{}, commitIDReusedProblem("version %d, which is another change", found.entry.Version)
	}
	return h.publishResult(ctx, found.entry, true), nil
}

// resolveReusedCommitID handles a commit id that the store already holds with
// different content. It is the same change if the delta differs only because the
// configuration changed between the two requests.
func (h *handler) resolveReusedCommitID(ctx context.Context, c change, reuseErr error) (ChangeResponse, error) {
	// The head may have advanced past the version that the delta was built against.
	head, err := h.config.Store.LoadConfig(ctx)
	if err != nil {
		return ChangeResponse{}, err
	}
	return h.earlierResultOr(ctx, c, head, failWith(reuseErr))
}

// canonicalDelta builds a delta, applies it to config to validate it, and returns it
// in canonical form.
func canonicalDelta(config *rules.Config, build deltaBuilder) (rules.Delta, error) {
	delta, err := build(config)
	if err != nil {
		return rules.Delta{}, err
	}
	next, err := config.Apply(delta)
	if err != nil {
		return rules.Delta{}, err
	}
	return rules.Diff(config, next), nil
}

// matchesCommit reports whether a commit in the log results from this change.
func (c *change) matchesCommit(found *loggedCommit) bool {
	if c.matchesDelta != nil {
		return c.matchesDelta(found.entry.Delta)
	}
	delta, err := canonicalDelta(found.before, c.build)
	return err == nil && equalDeltas(delta, found.entry.Delta)
}

func equalDeltas(a, b rules.Delta) bool {
	return slices.Equal(a.Removed, b.Removed) && slices.Equal(a.Added, b.Added)
}

// publish publishes a committed entry to the cluster. It ignores cancellation by the
// client, because the entry is already in the log.
func (h *handler) publish(ctx context.Context, entry configstore.ConfigEntry) Acceptance {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), h.config.PublishTimeout)
	defer cancel()
	return h.config.Cluster.Publish(ctx, entry)
}

// publishResult publishes a committed entry and returns the response to its change.
func (h *handler) publishResult(ctx context.Context, entry configstore.ConfigEntry, repeated bool) ChangeResponse {
	acceptance := h.publish(ctx, entry)
	return ChangeResponse{
		Version:    entry.Version,
		CommitID:   entry.CommitID,
		Changed:    true,
		Repeated:   repeated,
		Delta:      entry.Delta,
		Acceptance: &acceptance,
	}
}

// commitIDReusedProblem returns a problem for a commit id that another change uses;
// format describes that change.
func commitIDReusedProblem(format string, args ...any) *ProblemError {
	return newProblem(http.StatusUnprocessableEntity, CodeCommitIDReused, "the commit id belongs to "+format+"; nothing was changed", args...)
}

// changeStatus returns the HTTP status of a committed change: 200 if it is accepted,
// otherwise 202.
func changeStatus(r *ChangeResponse) int {
	if r.Accepted() {
		return http.StatusOK
	}
	return http.StatusAccepted
}

// commitChange commits a change on behalf of the authenticated operator.
func (h *handler) commitChange(ctx iris.Context, c change) (httpResponse, error) {
	c.operator = authenticatedOperator(ctx)
	response, err := h.commit(ctx.Request().Context(), c)
	if err != nil {
		return httpResponse{}, err
	}
	return httpResponse{changeStatus(&response), response}, nil
}
