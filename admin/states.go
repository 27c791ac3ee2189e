package admin

import (
	"net/http"
	"slices"
	"strings"

	"github.com/kataras/iris/v12"

	"trefoildock.example/rules"
)

func (h *handler) setZone(ctx iris.Context) (reply, error) {
	name, out, request, err := decodeState(ctx)
	if err != nil {
		return reply{}, err
	}
	members := h.config.Cluster.Status(ctx.Request().Context()).Members
	return h.makeChange(ctx, change{
		Change: request.Change,
		action: actionZone + request.State,
		build: func(config *rules.Config) (rules.Delta, error) {
			zone, hasRule := config.Zones[name]
			if !hasRule && !slices.ContainsFunc(members, func(m MemberStatus) bool { return m.Zone == name }) {
				return rules.Delta{}, unknownZone(config, members, name)
			}
			next := rules.Zone{Name: name, Out: out, Comment: rules.Comment(request.Comment)}
			return stateDelta(hasRule, zone.Out, zone.String(), out, next.String()), nil
		},
	})
}

func (h *handler) setBackendServer(ctx iris.Context) (reply, error) {
	name, out, request, err := decodeState(ctx)
	if err != nil {
		return reply{}, err
	}
	return h.makeChange(ctx, change{
		Change: request.Change,
		action: actionBackend + request.State,
		build: func(config *rules.Config) (rules.Delta, error) {
			server, hasRule := config.BackendServers[name]
			next := rules.BackendServer{Name: name, Out: out, Comment: rules.Comment(request.Comment)}
			return stateDelta(hasRule, server.Out, server.String(), out, next.String()), nil
		},
	})
}

// decodeState reads the name and the state of a zone or backend server. The
// comment is normalised, because it becomes part of a rule.
func decodeState(ctx iris.Context) (name string, out bool, request StateRequest, err error) {
	if err := decodeBody(ctx, MaxBodyBytes, &request); err != nil {
		return "", false, request, err
	}
	if err := request.validate(); err != nil {
		return "", false, request, err
	}
	name = ctx.Params().Get("name")
	if !rules.ValidName(name) {
		return "", false, request, badRequest("expected a name of up to %d letters, digits, '.', '_' and '-'", rules.MaxNameLength)
	}
	if request.State != StateIn && request.State != StateOut {
		return "", false, request, badRequest("state: expected %q or %q", StateIn, StateOut)
	}
	return name, request.State == StateOut, request, nil
}

// stateDelta replaces the rule of a state; without a rule the state is in. An
// unchanged state keeps its rule and with it the person who asked for it first.
func stateDelta(hasRule, isOut bool, line string, out bool, next string) rules.Delta {
	if isOut == out {
		return rules.Delta{}
	}
	delta := rules.Delta{Added: []string{next}}
	if hasRule {
		delta.Removed = []string{line}
	}
	return delta
}

// unknownZone names the zones that exist, because a mistyped name would leave
// the zone that was meant in service.
func unknownZone(config *rules.Config, members []MemberStatus, name string) *ProblemError {
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
