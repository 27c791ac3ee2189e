package main

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoildock.example/rules"
)

// Guards against duplicate addresses and against services with more than a third of
// their backend servers in one zone.
func TestLayoutsSpreadBackendsEvenly(t *testing.T) {
	seen := make(map[string]bool)
	for _, l := range []layout{ffonLayout(20), colaLayout(30)} {
		inZone := make(map[string]int)
		ofService := make(map[string]int)
		for _, v := range l.newVMs() {
			require.False(t, seen[v.address], v.address)
			seen[v.address] = true
			inZone[v.zone]++
			ofService[v.zone+" "+v.service]++
		}
		for _, zone := range l.zones {
			require.Equal(t, vmsPerZone, inZone[zone])
			for _, s := range l.services {
				require.Equal(t, s.backends/zonesPerDeployment, ofService[zone+" "+s.name])
			}
		}
	}
	require.Len(t, seen, 48)
}

// Guards against teams that the rules file lacks, and against teams other than the
// over-rate team that exceed their rates, because their refusals would be correct.
func TestTrafficStaysWithinRates(t *testing.T) {
	for _, l := range []layout{ffonLayout(20), colaLayout(30)} {
		file := "../../../settings/examples/" + l.name + ".rules"
		text := readTestFile(t, file)
		for _, teams := range []map[string]float64{l.traffic.http1Rates, l.traffic.http2Rates} {
			for team, offered := range teams {
				rate, _, err := parseTeamRate(file, text, team)
				require.NoError(t, err)
				require.Equal(t, team == l.traffic.overRateTeam, offered > rate, team)
			}
		}
		c, err := rules.Parse(file, strings.NewReader(text))
		require.NoError(t, err)
		for _, k := range l.traffic.kinds {
			route, ok := rules.NewRouter(c).Match(k.method, "", k.path)
			require.True(t, ok, k.path)
			require.Equal(t, k.open, route.Access == rules.AccessOpen, k.path)
		}
	}
}
