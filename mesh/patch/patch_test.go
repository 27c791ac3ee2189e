package patch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func table(rows ...string) []byte {
	return []byte(`{"version":"r1","routes":{"rows":[` + strings.Join(rows, ",") + `]},"limits":{}}`)
}

func rows(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf(`["route-%d","host-%d.example","/%d/","unsafe",2000]`, i, i%7, i)
	}
	return out
}

func TestPatchRestoresDocument(t *testing.T) {
	many := rows(1400)
	added, removed, moved := append(rows(1400), `["new","h","/n/","safe",1]`), many[1:], slices.Concat(many[700:], many[:700])
	onePercent := len(table(many...)) / 100
	for _, c := range []struct {
		name         string
		base, target []byte
		maxBytes     int
	}{
		{"same", table(many...), table(many...), 32},
		{"row added", table(many...), table(added...), onePercent},
		{"row removed", table(many...), table(removed...), onePercent},
		{"rows moved", table(many...), table(moved...), onePercent},
		{"whole document is compressed", nil, table(many...), len(table(many...)) / 2},
		{"empty target", table(many...), nil, 32},
		{"both empty", nil, nil, 32},
		{"no brackets", []byte("one"), []byte("two"), 32},
	} {
		t.Run(c.name, func(t *testing.T) {
			patch := Encode(c.base, c.target)
			require.LessOrEqual(t, len(patch), c.maxBytes)
			out, err := Decode(c.base, patch)
			require.NoError(t, err)
			require.Equal(t, string(c.target), string(out))
		})
	}
}

// Guards against a configuration that is assembled from a patch of another version.
func TestPatchOfOtherBaseIsRejected(t *testing.T) {
	patch := Encode(table(rows(20)...), table(rows(21)...))
	_, err := Decode(table(rows(19)...), patch)
	require.ErrorIs(t, err, ErrMismatch)
}

// Guards against a malformed patch that ends the process.
func FuzzDecode(f *testing.F) {
	base := table(rows(30)...)
	f.Add(Encode(base, table(rows(31)...)))
	f.Add(Encode(nil, table(rows(200)...)))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, patch []byte) {
		if out, err := Decode(base, patch); err != nil {
			require.ErrorIs(t, err, ErrMismatch)
			require.Nil(t, out)
		}
	})
}

func TestPatchBetweenRandomDocuments(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 0))
	text := func() []byte {
		out := make([]byte, r.IntN(200))
		for i := range out {
			out[i] = "[]{},ab"[r.IntN(7)]
		}
		return out
	}
	for range 20000 {
		base, target := text(), text()
		out, err := Decode(base, Encode(base, target))
		require.NoError(t, err)
		require.Equal(t, string(target), string(out))
	}
}
