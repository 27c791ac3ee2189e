package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoildock.example/link"
	"trefoildock.example/rules"
	"trefoildock.example/settings"
)

func readTestFile(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(name)
	require.NoError(t, err)
	return string(text)
}

// Guards against settings, certificates or keys that a node rejects at startup.
func TestProvisionedFilesAreValid(t *testing.T) {
	w := &workspace{dir: t.TempDir(), rulesDir: "../../../settings/examples"}
	for _, l := range []layout{ffonLayout(20), colaLayout(30)} {
		d, err := provision(l, w, &processes{})
		require.NoError(t, err)
		for i := range d.vms {
			s, err := settings.Load(d.path(d.vms[i].name + ".toml"))
			require.NoError(t, err)
			require.Equal(t, l.tls, s.Link.TLS())
			require.Len(t, s.Link.Seeds, 6)
			_, ok := s.OperatorByToken(d.token)
			require.True(t, ok)
			if l.tls {
				_, _, err = link.LoadTLS(s.Link.CAFile, s.Link.CertFile, s.Link.KeyFile)
				require.NoError(t, err)
			}
		}
		c, err := rules.Parse("all.rules", strings.NewReader(d.rulesText))
		require.NoError(t, err)
		require.Len(t, d.keys, 8)
		for team, key := range d.keys {
			require.Equal(t, team, c.Keys[rules.DigestKey(key)].Team)
		}
		require.Len(t, strings.Fields(readTestFile(t, filepath.Join(d.dir, "secrets"))), 8)
	}
}

// Guards against changing nothing or the rate of another team.
func TestChangeRateChangesOneTeam(t *testing.T) {
	text := "team a rate 5/s burst 9 weight 1 # A: b\nteam b rate 5/s burst 9 weight 1 # A: b\n"
	require.Equal(t, strings.Replace(text, "a rate 5/s", "a rate 7/s", 1), changeRate(text, "a", "7/s"))
}
