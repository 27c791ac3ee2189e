package bodymem

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"
)

const mib = 1 << 20

// endless returns bytes without end and counts them.
type endless struct{ n int64 }

func (e *endless) Read(p []byte) (int, error) {
	e.n += int64(len(p))
	return len(p), nil
}

func TestReadAll(t *testing.T) {
	content := strings.Repeat("x", 100_000)
	for name, c := range map[string]struct {
		body        io.Reader
		size, limit int64
		err         error
	}{
		"known length":                   {strings.NewReader(content), 100_000, 0, nil},
		"unknown length":                 {iotest.HalfReader(strings.NewReader(content)), -1, 0, nil},
		"unknown length, at the limit":   {strings.NewReader(content), -1, 100_000, nil},
		"known length, too large":        {strings.NewReader(content), 100_000, 99_999, ErrTooLarge},
		"unknown length, too large":      {strings.NewReader(content), -1, 99_999, ErrTooLarge},
		"known length, shorter":          {strings.NewReader(content), 100_001, 0, io.ErrUnexpectedEOF},
		"unknown length, does not fit":   {&endless{}, -1, 0, ErrExhausted},
		"unknown length, without budget": {&endless{}, -1, mib, ErrTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			b := New(4 * mib)
			r := b.Reserve()
			if strings.HasSuffix(name, "without budget") {
				r = (*Budget)(nil).Reserve()
			}
			got, err := r.ReadAll(t.Context(), c.body, c.size, c.limit)
			require.ErrorIs(t, err, c.err)
			if c.err == nil {
				require.Equal(t, content, string(got))
				require.GreaterOrEqual(t, b.Used(), int64(len(got)))
			}
			r.Release()
			require.Zero(t, b.Used())
			if r != nil {
				require.ErrorIs(t, r.Take(t.Context(), 1), ErrExhausted, "the request has ended")
				require.Zero(t, b.Used())
			}
		})
	}
}

// Guards against large bodies that together take more than the budget, and that leave no
// memory to small ones.
func TestLargeBodiesWaitForEachOther(t *testing.T) {
	b := New(8 * mib)
	var mu sync.Mutex
	var most int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			r := b.Reserve()
			defer r.Release()
			got, err := r.ReadAll(t.Context(), bytes.NewReader(make([]byte, 3*mib)), 3*mib, 0)
			require.NoError(t, err)
			require.Len(t, got, 3*mib)
			small := b.Reserve()
			require.NoError(t, small.Take(t.Context(), 100_000))
			small.Release()
			mu.Lock()
			most = max(most, b.Used())
			mu.Unlock()
			time.Sleep(5 * time.Millisecond)
		})
	}
	wg.Wait()
	require.LessOrEqual(t, most, int64(8*mib))
	require.Zero(t, b.Used())
}

// Guards against a body that can never be buffered although it is within the configured limit,
// because it is larger than the budget.
func TestBodyLargerThanTheBudgetIsReadAlone(t *testing.T) {
	b := New(2 * mib)
	first, second := b.Reserve(), b.Reserve()
	require.NoError(t, first.Take(t.Context(), 3*mib))
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, second.Take(ctx, 3*mib), ErrExhausted)
	first.Release()
	require.NoError(t, second.Take(t.Context(), 3*mib))
}
