package admin

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"

	"trefoildock.example/platform"
	"trefoildock.example/rules"
)

const (
	// outcomeAttempts bounds the attempts of a commit whose answer was lost.
	outcomeAttempts = 3
	// outcomeBackoff is the wait before the first repeat; it doubles.
	outcomeBackoff = 100 * time.Millisecond
)

// change is one requested change.
type change struct {
	Change
	operator string
	// readVersion is the version that the client read. If it is nil, the server
	// builds the change against the head and resolves races itself.
	readVersion *uint64
	// build returns the delta that makes the change.
	build func(*rules.Config) (rules.Delta, error)
	// made reports whether a delta committed on top of a configuration is this
	// change. Default: build returns the same delta.
	made func(*rules.Config, rules.Delta) bool
}

// commit makes a change, or recognises that it was made before, and waits for
// its acceptance.
func (h *handler) commit(ctx context.Context, c change) (ChangeResponse, error) {
	if err := c.validate(); err != nil {
		return ChangeResponse{}, err
	}
	for attempt := 1; ; attempt++ {
		config, head, err := h.current.read(ctx)
		if err != nil {
			return ChangeResponse{}, err
		}
		version, found, err := h.findCommit(ctx, c.CommitID, head)
		if err != nil {
			return ChangeResponse{}, err
		}
		if found {
			return h.finish(ctx, c, version, nil)
		}
		if c.readVersion != nil && *c.readVersion != head {
			return ChangeResponse{}, &ConflictError{Read: *c.readVersion, Head: head}
		}
		delta, err := canonicalDelta(config, c.build)
		if err != nil {
			return ChangeResponse{}, err
		}
		if delta.Empty() {
			return ChangeResponse{Version: head, CommitID: c.CommitID}, nil
		}
		version, err = h.commitDelta(ctx, ConfigCommit{
			ID: c.CommitID, ReadVersion: head, Delta: delta, Operator: c.operator, Requester: c.Comment,
		})
		var conflict *ConflictError
		if c.readVersion == nil && attempt < commitAttempts && errors.As(err, &conflict) {
			continue
		}
		if err != nil {
			return ChangeResponse{}, err
		}
		return h.finish(ctx, c, version, &delta)
	}
}

// canonicalDelta builds a delta, checks its result and returns it in canonical form.
func canonicalDelta(config *rules.Config, build func(*rules.Config) (rules.Delta, error)) (rules.Delta, error) {
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

// findCommit looks for a commit id in the log. It asks for a commit on top of
// version 0, which the store refuses once the log has an entry, unless it
// recognises the id.
func (h *handler) findCommit(ctx context.Context, id string, head uint64) (version uint64, found bool, err error) {
	if head == 0 {
		return 0, false, nil
	}
	version, err = h.config.Store.CommitConfig(ctx, ConfigCommit{ID: id})
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return 0, false, nil
	}
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		// The transaction can have had no effect.
		err = errors.Wrap(platform.ErrUnavailable, "look for the commit id")
	}
	return version, err == nil, err
}

// commitDelta commits and repeats the commit while its outcome is unknown.
func (h *handler) commitDelta(ctx context.Context, commit ConfigCommit) (uint64, error) {
	backoff := outcomeBackoff
	version, err := h.config.Store.CommitConfig(ctx, commit)
	for attempt := 1; errors.Is(err, platform.ErrOutcomeUnknown) && attempt < outcomeAttempts; attempt++ {
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
			return 0, err
		}
		backoff *= 2
		var again error
		version, again = h.config.Store.CommitConfig(ctx, commit)
		// An unavailable platform says nothing about the earlier attempt.
		if !errors.Is(again, platform.ErrUnavailable) {
			err = again
		}
	}
	return version, err
}

// finish verifies that a committed version is the change and publishes it. The
// delta is nil if the commit id was found in the log.
func (h *handler) finish(ctx context.Context, c change, version uint64, delta *rules.Delta) (ChangeResponse, error) {
	before, entry, err := h.current.before(ctx, version)
	if errors.Is(err, platform.ErrUnavailable) {
		// The change is committed, so the client has to repeat its request to learn more.
		return ChangeResponse{}, errors.Wrap(platform.ErrOutcomeUnknown, "read the committed change")
	}
	if err != nil {
		return ChangeResponse{}, err
	}
	repeated := delta == nil || !equalDeltas(*delta, entry.Delta)
	if repeated && !c.wasMade(before, entry.Delta) {
		return ChangeResponse{}, newCommitIDReused("version %d, which is another change", version)
	}
	acceptance := h.publish(ctx, entry)
	return ChangeResponse{
		Version:    version,
		CommitID:   c.CommitID,
		Changed:    true,
		Repeated:   repeated,
		Delta:      entry.Delta,
		Acceptance: &acceptance,
	}, nil
}

// publish spreads an entry even if the client gives up, because the entry is in the log.
func (h *handler) publish(ctx context.Context, entry ConfigEntry) Acceptance {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), h.config.PublishTimeout)
	defer cancel()
	return h.config.Cluster.Publish(ctx, entry)
}

// wasMade reports whether a committed delta is this change.
func (c *change) wasMade(before *rules.Config, committed rules.Delta) bool {
	if c.made != nil {
		return c.made(before, committed)
	}
	delta, err := canonicalDelta(before, c.build)
	return err == nil && equalDeltas(delta, committed)
}

func equalDeltas(a, b rules.Delta) bool {
	return slices.Equal(a.Removed, b.Removed) && slices.Equal(a.Added, b.Added)
}

// newCommitIDReused returns a problem that says what the commit id belongs to.
func newCommitIDReused(format string, args ...any) *Problem {
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
