package admin

import (
	"net/http"
	"slices"
	"strings"

	"github.com/kataras/iris/v12"

	"trefoildock.example/rules"
)

// issueKey generates a key and returns it in plaintext. Only its digest is stored,
// so a retry of the request cannot return the key again.
func (h *handler) issueKey(ctx iris.Context) (httpResponse, error) {
	var request IssueRequest
	if err := decodeBody(ctx, MaxBodyBytes, &request); err != nil {
		return httpResponse{}, err
	}
	if err := request.validate(); err != nil {
		return httpResponse{}, err
	}
	team := ctx.Params().Get("team")
	if !rules.ValidName(team) {
		return httpResponse{}, badRequestProblem("expected the name of a team")
	}
	plaintext, digest, err := h.config.NewKey()
	if err != nil {
		return httpResponse{}, err
	}
	key := rules.Key{Digest: digest, Team: team, Comment: rules.Comment(request.Comment)}
	response, err := h.commit(ctx.Request().Context(), change{
		Change:   request.Change,
		action:   actionIssue,
		operator: authenticatedOperator(ctx),
		build: func(config *rules.Config) (rules.Delta, error) {
			if _, found := config.Teams[team]; !found {
				return rules.Delta{}, newProblem(http.StatusNotFound, CodeNotFound, "there is no team %s", team)
			}
			return rules.Delta{Added: []string{key.String()}}, nil
		},
		matchesDelta: func(committed rules.Delta) bool {
			return len(committed.Removed) == 0 && len(committed.Added) == 1 &&
				replaceDigest(committed.Added[0], digest) == key.String()
		},
	})
	if err != nil {
		return httpResponse{}, err
	}
	if response.Repeated {
		return httpResponse{}, keyAlreadyIssuedProblem(&response)
	}
	return httpResponse{changeStatus(&response), IssueResponse{response, plaintext, digest.String()}}, nil
}

// replaceDigest returns a key rule with its digest replaced, or "" if line is not a
// key rule.
func replaceDigest(line string, digest rules.KeyDigest) string {
	words := strings.SplitN(line, " ", 4)
	if len(words) != 4 || words[0] != "key" {
		return ""
	}
	words[2] = digest.String()
	return strings.Join(words, " ")
}

// keyAlreadyIssuedProblem returns a problem with the digest of a key whose plaintext
// was in a lost response.
func keyAlreadyIssuedProblem(r *ChangeResponse) *ProblemError {
	digest := strings.Fields(r.Delta.Added[0])[2]
	p := newProblem(http.StatusConflict, CodeKeyAlreadyIssued,
		"version %d issued the key %s for this commit id, and its clear text cannot be shown again; if it was lost, withdraw the key and issue another",
		r.Version, digest)
	p.Digest = digest
	return p
}

func (h *handler) withdrawKeys(ctx iris.Context) (httpResponse, error) {
	var request WithdrawRequest
	if err := decodeBody(ctx, MaxBodyBytes, &request); err != nil {
		return httpResponse{}, err
	}
	build, err := request.build()
	if err != nil {
		return httpResponse{}, err
	}
	return h.commitChange(ctx, change{Change: request.Change, action: actionWithdraw, build: build})
}

// build validates the request and returns the builder of a delta that removes the keys.
func (r *WithdrawRequest) build() (deltaBuilder, error) {
	if (r.Digest == "") == (r.Team == "") {
		return nil, badRequestProblem("expected either digest or team")
	}
	if r.Team != "" {
		return r.removeTeamKeys, nil
	}
	digest, ok := rules.ParseKeyDigest(r.Digest)
	if !ok {
		return nil, badRequestProblem("digest: expected sha256:<64 hex digits>")
	}
	return func(config *rules.Config) (rules.Delta, error) {
		key, found := config.Keys[digest]
		if !found {
			return rules.Delta{}, newProblem(http.StatusNotFound, CodeNotFound, "there is no key with the digest %s", digest)
		}
		return rules.Delta{Removed: []string{key.String()}}, nil
	}, nil
}

func (r *WithdrawRequest) removeTeamKeys(config *rules.Config) (rules.Delta, error) {
	if _, found := config.Teams[r.Team]; !found {
		return rules.Delta{}, newProblem(http.StatusNotFound, CodeNotFound, "there is no team %.64q", r.Team)
	}
	var delta rules.Delta
	for _, key := range config.Keys {
		if key.Team == r.Team {
			delta.Removed = append(delta.Removed, key.String())
		}
	}
	slices.Sort(delta.Removed)
	return delta, nil
}
