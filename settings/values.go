package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration that is encoded with a unit, such as "5s".
type Duration time.Duration

// UnmarshalText parses a duration such as "250ms" or "1m30s".
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.New(`a duration with unit, such as "5s"`)
	}
	*d = Duration(value)
	return nil
}

// MarshalText returns the form that UnmarshalText parses.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// String returns the form that is used in the settings file.
func (d Duration) String() string {
	return time.Duration(d).String()
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// ByteSize is a number of bytes, encoded as an integer or with a unit, such as
// "64KiB".
type ByteSize int64

// Units of ByteSize.
const (
	KiB ByteSize = 1 << 10
	MiB ByteSize = 1 << 20
	GiB ByteSize = 1 << 30
)

// byteUnits lists the units in descending order of size.
var byteUnits = []struct {
	suffix string
	size   ByteSize
}{{"GiB", GiB}, {"MiB", MiB}, {"KiB", KiB}, {"B", 1}}

// UnmarshalText parses a size such as "64KiB", "1 MiB" or "4096".
func (b *ByteSize) UnmarshalText(text []byte) error {
	number, unit := string(text), ByteSize(1)
	for _, u := range byteUnits {
		if digits, found := strings.CutSuffix(number, u.suffix); found {
			number, unit = strings.TrimSuffix(digits, " "), u.size
			break
		}
	}
	value, err := strconv.ParseUint(number, 10, 63)
	if err != nil || ByteSize(value) > math.MaxInt64/unit {
		return errors.New(`a size in bytes, such as 65536 or "64KiB"`)
	}
	*b = ByteSize(value) * unit
	return nil
}

// MarshalText returns the form that UnmarshalText parses.
func (b ByteSize) MarshalText() ([]byte, error) {
	return []byte(b.String()), nil
}

// String returns the size in the largest unit that divides it.
func (b ByteSize) String() string {
	for _, u := range byteUnits {
		if b != 0 && b%u.size == 0 {
			return strconv.FormatInt(int64(b/u.size), 10) + u.suffix
		}
	}
	return "0B"
}

// Digest is a SHA-256 digest.
type Digest [sha256.Size]byte

// UnmarshalText parses 64 hex digits.
func (d *Digest) UnmarshalText(text []byte) error {
	if len(text) == hex.EncodedLen(len(d)) {
		if _, err := hex.Decode(d[:], text); err == nil {
			return nil
		}
	}
	return errors.New("a SHA-256 digest of 64 hex digits")
}

// MarshalText returns the form that UnmarshalText parses.
func (d Digest) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(d[:])), nil
}
