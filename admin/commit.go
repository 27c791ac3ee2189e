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

// Actions of the audit trail.
const (
	actionApplyFile  = "apply file"
	actionApplyDelta = "apply delta"
	actionZone       = "zone "
	actionBackend    = "backend "
	actionIssue      = "key issue"
	actionWithdraw   = "key withdraw"
)

// buildDelta returns the delta that makes a change of a configuration.
type buildDelta func(*rules.Config) (rules.Delta, error)

// change is one requested change.
type change struct {
	Change
	action   string
	operator string
	// readVersion is the version that the client read. If it is nil, the server
	// builds the change against the head and resolves races itself.
	readVersion *uint64
	build       buildDelta
	// made reports whether a committed delta is this change. Default: build
	// returns the same delta for the configuration before the commit.
	made func(rules.Delta) bool
}

// commit makes a change, or recognises that it was made before, and waits for
// its acceptance.
func (h *handler) commit(ctx context.Context, c change) (ChangeResponse, error) {
	if err := c.validate(); err != nil {
		return ChangeResponse{}, err
	}
	for attempt := 1; ; attempt++ {
		head, err := h.config.Store.LoadConfig(ctx)
		if err != nil {
			return ChangeResponse{}, err
		}
		response, err := h.commitOn(ctx, c, head)
		var conflict *configstore.ConflictError
		if c.readVersion != nil || attempt == commitAttempts || !errors.As(err, &conflict) {
			return response, err
		}
	}
}

// commitOn makes a change on top of a version. If nothing is to be committed, an
// earlier request with this commit id may be the reason.
func (h *handler) commitOn(ctx context.Context, c change, head *configstore.ConfigState) (ChangeResponse, error) {
	if c.readVersion != nil && *c.readVersion != head.Version {
		return h.repeatOr(ctx, c, head, refuse(&configstore.ConflictError{Read: *c.readVersion, Head: head.Version}))
	}
	delta, err := canonicalDelta(head.Config, c.build)
	if err != nil {
		return h.repeatOr(ctx, c, head, refuse(err))
	}
	if delta.Empty() {
		return h.repeatOr(ctx, c, head, func() (ChangeResponse, error) { return h.unchanged(ctx, c, head.Version) })
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
		return h.reused(ctx, c, err)
	}
	if err != nil {
		return ChangeResponse{}, err
	}
	entry := configstore.ConfigEntry{Version: version, CommitID: c.CommitID, Delta: delta}
	return h.finish(ctx, entry, version != head.Version+1), nil
}

// unchanged reports on a version that is as asked for. It may have been committed
// a moment ago without a quorum, so its acceptance is reported as well.
func (h *handler) unchanged(ctx context.Context, c change, version uint64) (ChangeResponse, error) {
	response := ChangeResponse{Version: version, CommitID: c.CommitID}
	if version == 0 {
		return response, nil
	}
	entries, err := h.entries(ctx, version-1, version)
	if err != nil {
		return ChangeResponse{}, err
	}
	acceptance := h.publish(ctx, entries[0])
	response.Acceptance = &acceptance
	return response, nil
}

// result is the outcome of a change.
type result func() (ChangeResponse, error)

// refuse returns the result of a change that fails.
func refuse(err error) result {
	return func() (ChangeResponse, error) { return ChangeResponse{}, err }
}

// repeatOr returns the result of an earlier request with this commit id, or the
// given result if there was none.
func (h *handler) repeatOr(ctx context.Context, c change, head *configstore.ConfigState, otherwise result) (ChangeResponse, error) {
	found, err := h.findCommit(ctx, c.CommitID, head)
	if err != nil {
		return ChangeResponse{}, err
	}
	if found == nil {
		return otherwise()
	}
	if !c.wasMade(found) {
		return ChangeResponse{}, commitIDReused("version %d, which is another change", found.entry.Version)
	}
	return h.finish(ctx, found.entry, true), nil
}

// reused handles a commit id that the store knows with another content. It is
// the same change if the delta differs only because the configuration changed
// in between.
func (h *handler) reused(ctx context.Context, c change, refusal error) (ChangeResponse, error) {
	// The head may have moved past the version that the change was built on.
	head, err := h.config.Store.LoadConfig(ctx)
	if err != nil {
		return ChangeResponse{}, err
	}
	return h.repeatOr(ctx, c, head, refuse(refusal))
}

// canonicalDelta builds a delta, checks its result and returns it in canonical form.
func canonicalDelta(config *rules.Config, build buildDelta) (rules.Delta, error) {
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

// wasMade reports whether a commit in the log is this change.
func (c *change) wasMade(found *madeCommit) bool {
	if c.made != nil {
		return c.made(found.entry.Delta)
	}
	delta, err := canonicalDelta(found.before, c.build)
	return err == nil && equalDeltas(delta, found.entry.Delta)
}

func equalDeltas(a, b rules.Delta) bool {
	return slices.Equal(a.Removed, b.Removed) && slices.Equal(a.Added, b.Added)
}

// publish spreads a committed entry. It does so even if the client gives up,
// because the entry is in the log.
func (h *handler) publish(ctx context.Context, entry configstore.ConfigEntry) Acceptance {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), h.config.PublishTimeout)
	defer cancel()
	return h.config.Cluster.Publish(ctx, entry)
}

// finish publishes a committed entry and returns the result of its change.
func (h *handler) finish(ctx context.Context, entry configstore.ConfigEntry, repeated bool) ChangeResponse {
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

// commitIDReused returns a problem that says what the commit id belongs to.
func commitIDReused(format string, args ...any) *ProblemError {
	return newProblem(http.StatusUnprocessableEntity, CodeCommitIDReused, "the commit id belongs to "+format+"; nothing was changed", args...)
}

// statusOf returns 202 for a change that is committed but not yet accepted.
func statusOf(r *ChangeResponse) int {
	if r.Accepted() {
		return http.StatusOK
	}
	return http.StatusAccepted
}

// makeChange commits a change on behalf of the operator of the request.
func (h *handler) makeChange(ctx iris.Context, c change) (reply, error) {
	c.operator = operator(ctx)
	response, err := h.commit(ctx.Request().Context(), c)
	if err != nil {
		return reply{}, err
	}
	return reply{statusOf(&response), response}, nil
}
