package platformserver

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoildock.example/platform"
	"trefoildock.example/platform/memory"
)

func newTestClient(t *testing.T) (*platform.Client, func(faults string)) {
	t.Helper()
	srv := httptest.NewServer(New(memory.New()))
	client, err := platform.NewClient(platform.ClientConfig{URL: srv.URL})
	require.NoError(t, err)
	t.Cleanup(func() {
		client.Close()
		srv.Close()
	})
	return client, func(faults string) {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, srv.URL+"/faults", strings.NewReader(faults))
		require.NoError(t, err)
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		resp.Body.Close()
		require.Equal(t, http.StatusNoContent, resp.StatusCode)
	}
}

// Guards against differences in the API between client and simulated server, including
// keys with reserved characters.
func TestClientRoundTripsRows(t *testing.T) {
	client, _ := newTestClient(t)
	table := client.Table()
	for _, key := range []string{"config/log/1", "a//../b", "%2F?x=1#y z", "+"} {
		revision, err := table.Transact(t.Context(), platform.Transaction{
			Checks: []platform.Check{{Key: key}}, Puts: []platform.Put{{Key: key, Value: []byte{0, 255}}},
		})
		require.NoError(t, err, key)
		row, err := table.Get(t.Context(), key)
		require.NoError(t, err, key)
		require.Equal(t, platform.Row{Key: key, Value: []byte{0, 255}, Revision: revision}, row)
		var conflict *platform.ConflictError
		_, err = table.Transact(t.Context(), platform.Transaction{Checks: []platform.Check{{Key: key}}})
		require.ErrorAs(t, err, &conflict)
		require.Equal(t, key, conflict.Key)
	}
	rows, err := table.Scan(t.Context(), "config/", "config/log/0", 5)
	require.NoError(t, err)
	require.Len(t, rows, 1)
}

// Guards against conditional object writes whose condition is not transmitted.
func TestObjectWritesKeepCondition(t *testing.T) {
	client, _ := newTestClient(t)
	objects := client.Objects()
	etag, err := objects.Put(t.Context(), "a/b", []byte("1"), "")
	require.NoError(t, err)
	var conflict *platform.ConflictError
	_, err = objects.Put(t.Context(), "a/b", []byte("2"), "")
	require.ErrorAs(t, err, &conflict)
	_, err = objects.Put(t.Context(), "a/b", []byte("3"), etag)
	require.NoError(t, err)
	object, err := objects.Get(t.Context(), "a/b")
	require.NoError(t, err)
	require.Equal(t, "3", string(object.Body))
}

// Guards against fault modes that the client does not map to the expected error.
func TestFaultModes(t *testing.T) {
	client, setFaults := newTestClient(t)
	table := client.Table()
	put := func(key string) error {
		_, err := table.Transact(t.Context(), platform.Transaction{Puts: []platform.Put{{Key: key}}})
		return err
	}
	setFaults(`{"mode":"down"}`)
	require.ErrorIs(t, put("down"), platform.ErrOutcomeUnknown)
	_, err := table.Get(t.Context(), "down")
	require.ErrorIs(t, err, platform.ErrUnavailable)
	setFaults(`{"mode":"lost-answer"}`)
	require.ErrorIs(t, put("lost"), platform.ErrOutcomeUnknown)
	setFaults(`{"mode":"slow","delay_ms":1}`)
	require.NoError(t, put("slow"))
	setFaults(`{"mode":"none"}`)
	rows, err := table.Scan(t.Context(), "", "", 10)
	require.NoError(t, err)
	require.Len(t, rows, 2)
}
