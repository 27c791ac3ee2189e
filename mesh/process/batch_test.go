package process

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"trefoildock.example/platform"
	"trefoildock.example/standin/rowstore"
)

// Guards against a write for each node when all nodes of a zone restart, and against a row
// at another revision that fails the rows of other nodes.
func TestRowsAreWrittenInBatches(t *testing.T) {
	store := rowstore.New()
	srv := httptest.NewServer(store)
	t.Cleanup(srv.Close)
	client, err := platform.NewClient(platform.ClientConfig{URL: srv.URL})
	require.NoError(t, err)
	t.Cleanup(client.Close)
	b := &rowBatch{write: client.Rows(memberTable).WriteAll}
	store.Put(memberTable, "member/3", []byte("other"))

	const nodes = 71
	results := make([]error, nodes)
	var wg sync.WaitGroup
	for i := range nodes {
		wg.Go(func() {
			_, results[i] = b.Write(t.Context(), platform.RowWrite{Key: fmt.Sprint("member/", i), Value: []byte("row")})
		})
	}
	wg.Wait()
	for i, err := range results {
		var conflict *platform.ConflictError
		if i == 3 {
			require.ErrorAs(t, err, &conflict)
			continue
		}
		require.NoError(t, err)
		value, ok := store.Value(memberTable, fmt.Sprint("member/", i))
		require.True(t, ok)
		require.Equal(t, "row", string(value))
	}
	require.LessOrEqual(t, store.RequestCount("/v1/rows-tx"), 4)
}

// Guards against a batch that reports a write as not done although its outcome is unknown.
func TestOutcomeOfBatchIsUnknownAfterTimeout(t *testing.T) {
	release := make(chan struct{})
	b := &rowBatch{write: func(context.Context, []platform.RowWrite) (platform.WriteResult, error) {
		<-release
		return platform.WriteResult{Revision: 1}, nil
	}}
	ctx, cancel := context.WithTimeout(t.Context(), 2*batchDelay)
	defer cancel()
	_, err := b.Write(ctx, platform.RowWrite{Key: "a"})
	require.True(t, errors.Is(err, platform.ErrOutcomeUnknown))
	close(release)
}
