package node

import metrics "github.com/rcrowley/go-metrics"

// stateGauges exports the control state as metrics.
type stateGauges struct {
	fresh, configVersion, membersVersion, members, routes, teams metrics.Gauge
}

func newStateGauges(r metrics.Registry) *stateGauges {
	g := func(name string) metrics.Gauge { return metrics.NewRegisteredGauge(name, r) }
	return &stateGauges{
		fresh: g("control.fresh"), configVersion: g("control.config.version"),
		membersVersion: g("control.members.version"), members: g("control.members"),
		routes: g("control.routes"), teams: g("control.teams"),
	}
}

func (g *stateGauges) update(c *controlLoop, fresh bool) {
	value := int64(0)
	if fresh {
		value = 1
	}
	g.fresh.Update(value)
	g.configVersion.Update(int64(c.configVersion))
	g.membersVersion.Update(int64(c.membersVersion))
	g.members.Update(int64(len(c.members)))
	g.routes.Update(int64(len(c.config.Routes)))
	g.teams.Update(int64(len(c.config.Teams)))
}
