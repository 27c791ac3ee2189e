package configstore

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/platform"
	"trefoildock.example/rules"
)

// logName is the key prefix of a log.
type logName string

const (
	configLog  logName = "config"
	membersLog logName = "members"
)

func (l logName) headKey() string     { return headPrefix + string(l) }
func (l logName) entryPrefix() string { return string(l) + "/entry/" }
func (l logName) entryKey(version uint64) string {
	return versionKey(l.entryPrefix(), version)
}

const (
	// headPrefix is common to the head rows, so that one scan reads both.
	headPrefix   = "head/"
	auditPrefix  = "config/audit/"
	deltaPrefix  = "config/delta/"
	commitPrefix = "config/commit/"
)

// versionKey pads the version, so that the order of keys is that of versions.
func versionKey(prefix string, version uint64) string {
	return fmt.Sprintf("%s%020d", prefix, version)
}

// headRow is the value of a head row.
type headRow struct {
	Version uint64 `json:"version"`
}

// commitRow is the value of the row under a commit id.
type commitRow struct {
	Version uint64 `json:"version"`
	// Fingerprint is the digest of the commit, to detect a reused commit id.
	Fingerprint string `json:"fingerprint"`
}

// configRow is the value of an entry of the configuration log.
type configRow struct {
	CommitID string      `json:"commit_id"`
	Delta    rules.Delta `json:"delta"`
	// Separate means that the delta is in a row of its own.
	Separate bool `json:"separate,omitempty"`
}

// auditRow is the value of an audit row. The lines of the change are in the
// entry of the same version.
type auditRow struct {
	Time      time.Time `json:"time"`
	Operator  string    `json:"operator"`
	Requester string    `json:"requester"`
	Action    string    `json:"action"`
	CommitID  string    `json:"commit_id"`
}

const (
	// maxInlineDelta is the size in bytes from which a delta is compressed and
	// stored in a row of its own. The import of a whole rules file would otherwise
	// exceed the largest transaction, and a scan the largest answer of the platform.
	maxInlineDelta = 16 << 10
	// pageRows bounds the rows of a scan, so that rows of the largest size fit
	// into an answer of the platform (8 MiB with values in base64).
	pageRows = 256
	// maxUnpackedDelta bounds the memory for a compressed delta, in bytes.
	maxUnpackedDelta = 256 << 20
)

// deltaRow is the value of a row that holds a large delta.
type deltaRow struct {
	// Packed is the delta as gzip-compressed JSON.
	Packed []byte `json:"packed"`
}

// packDelta returns the compressed form of a large delta, or nil for a small one.
func packDelta(d rules.Delta) ([]byte, error) {
	plain, err := json.Marshal(d)
	if err != nil || len(plain) < maxInlineDelta {
		return nil, err
	}
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if _, err := w.Write(plain); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}

func unpackDelta(packed []byte) (rules.Delta, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return rules.Delta{}, err
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxUnpackedDelta))
	if err != nil {
		return rules.Delta{}, err
	}
	var d rules.Delta
	err = json.Unmarshal(plain, &d)
	return d, err
}

// decodeRow reads the JSON value of a row.
func decodeRow(row platform.Row, value any) error {
	if err := json.Unmarshal(row.Value, value); err != nil {
		return errors.Wrapf(ErrCorruptLog, "row %s: %v", row.Key, err)
	}
	return nil
}

// putJSON returns the write of a value as JSON.
func putJSON(key string, value any) (platform.Put, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return platform.Put{}, errors.Wrapf(err, "encode row %s", key)
	}
	return platform.Put{Key: key, Value: text}, nil
}
