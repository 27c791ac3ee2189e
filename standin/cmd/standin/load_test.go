package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoildock.example/standin/load"
)

// Guards against flags that a configuration file overrides, and against accepting
// misspelled fields.
func TestFlagsOverrideConfigFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "load.json")
	require.NoError(t, os.WriteFile(path, []byte(`{"entries":["a:1"],"seed":3,"teams":[{"name":"x","rate":1}]}`), 0o600))
	c := loadCommand{Config: path, Team: []string{"y:k:2.5"}, Request: []string{"GET /a 1"}, Executions: []string{"u"}}
	got, err := c.config()
	require.NoError(t, err)
	require.Equal(t, load.Config{
		Entries: []string{"a:1"}, Seed: 3, KeepOrders: true,
		Teams: []load.Team{{Name: "y", Key: "k", Rate: 2.5}},
		Kinds: []load.RequestKind{{Method: "GET", Path: "/a", Share: 1}},
	}, got)
	require.NoError(t, os.WriteFile(path, []byte(`{"entry":["a:1"]}`), 0o600))
	_, err = c.config()
	require.ErrorContains(t, err, "entry")
}
