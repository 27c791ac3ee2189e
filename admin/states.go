package admin

import (
	"net/http"
	"slices"
	"strings"

	"github.com/kataras/iris/v12"

	"trefoildock.example/rules"
)

func (h *handler) setZone(ctx iris.Context) (httpResponse, error) {
	name, out, request, err := decodeStateRequest(ctx)
	if err != nil {
		return httpResponse{}, err
	}
	members := h.config.Cluster.Status(ctx.Request().Context()).Members
	return h.commitChange(ctx, change{
		Change: request.Change,
		action: actionZonePrefix + request.State,
		build: func(config *rules.Config) (rules.Delta, error) {
			zone, hasRule := config.Zones[name]
			if !hasRule && !slices.ContainsFunc(members, func(m MemberStatus) bool { return m.Zone == name }) {
				return rules.Delta{}, unknownZoneProblem(config, members, name)
			}
			next := rules.Zone{Name: name, OutOfService: out, Comment: rules.Comment(request.Comment)}
			return stateDelta(hasRule, zone.OutOfService, zone.String(), out, next.String()), nil
		},
	})
}

func (h *handler) setBackendServer(ctx iris.Context) (httpResponse, error) {
	name, out, request, err := decodeStateRequest(ctx)
	if err != nil {
		return httpResponse{}, err
	}
	return h.commitChange(ctx, change{
		Change: request.Change,
		action: actionBackendPrefix + request.State,
		build: func(config *rules.Config) (rules.Delta, error) {
			server, hasRule := config.BackendServers[name]
			next := rules.BackendServer{Name: name, OutOfService: out, Comment: rules.Comment(request.Comment)}
			return stateDelta(hasRule, server.OutOfService, server.String(), out, next.String()), nil
		},
	})
}

// decodeStateRequest returns the name of a zone or backend server and the requested
// state. The comment is normalized, because it becomes part of a rule.
func decodeStateRequest(ctx iris.Context) (name string, out bool, request StateRequest, err error) {
	if err := decodeBody(ctx, MaxBodyBytes, &request); err != nil {
		return "", false, request, err
	}
	if err := request.validate(); err != nil {
		return "", false, request, err
	}
	name = ctx.Params().Get("name")
	if !rules.ValidName(name) {
		return "", false, request, badRequestProblem("expected a name of up to %d letters, digits, '.', '_' and '-'", rules.MaxNameLength)
	}
	if request.State != StateInService && request.State != StateOutOfService {
		return "", false, request, badRequestProblem("state: expected %q or %q", StateInService, StateOutOfService)
	}
	return name, request.State == StateOutOfService, request, nil
}

// stateDelta returns the delta that replaces the rule of a state. A zone or backend
// server without a rule is in service. The delta of an unchanged state is empty, so
// that its rule keeps the comment of the original requester.
func stateDelta(hasRule, currentOut bool, currentLine string, targetOut bool, targetLine string) rules.Delta {
	if currentOut == targetOut {
		return rules.Delta{}
	}
	delta := rules.Delta{Added: []string{targetLine}}
	if hasRule {
		delta.Removed = []string{currentLine}
	}
	return delta
}

// unknownZoneProblem returns a problem that lists the existing zones. A mistyped
// name has to be rejected, because the intended zone would remain in service.
func unknownZoneProblem(config *rules.Config, members []MemberStatus, name string) *ProblemError {
	var known []string
	for zone := range config.Zones {
		known = append(known, zone)
	}
	for _, m := range members {
		known = append(known, m.Zone)
	}
	slices.Sort(known)
	return newProblem(http.StatusNotFound, CodeNotFound, "no rule and no node names the availability zone %s; known zones: %s",
		name, strings.Join(slices.Compact(known), ", "))
}
