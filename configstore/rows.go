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
	// headPrefix is the common key prefix of the head rows, so that one scan reads
	// both.
	headPrefix   = "head/"
	auditPrefix  = "config/audit/"
	deltaPrefix  = "config/delta/"
	commitPrefix = "config/commit/"
)

// versionKey returns the key of a version. The version is zero-padded, so that the
// lexicographic order of keys is the order of versions.
func versionKey(prefix string, version uint64) string {
	return fmt.Sprintf("%s%020d", prefix, version)
}

// headRow is the value of a head row.
type headRow struct {
	Version uint64 `json:"version"`
}

// commitRow is the value of the row keyed by a commit id.
type commitRow struct {
	Version uint64 `json:"version"`
	// Fingerprint is the digest of the commit. It detects a reused commit id.
	Fingerprint string `json:"fingerprint"`
}

// configRow is the value of an entry of the configuration log.
type configRow struct {
	CommitID string      `json:"commit_id"`
	Delta    rules.Delta `json:"delta"`
	// HasSeparateDelta means that the delta is stored in a separate deltaRow.
	HasSeparateDelta bool `json:"separate,omitempty"`
}

// auditRow is the value of an audit row. The changed rules are stored in the
// configuration entry of the same version.
type auditRow struct {
	Time      time.Time `json:"time"`
	Operator  string    `json:"operator"`
	Requester string    `json:"requester"`
	Action    string    `json:"action"`
	CommitID  string    `json:"commit_id"`
}

const (
	// maxInlineDeltaBytes is the size of encoded JSON from which a delta is
	// compressed and stored in a separate row. Otherwise the import of a large rules
	// file would exceed the size limit of a transaction, and a scan the size limit of
	// a platform response.
	maxInlineDeltaBytes = 16 << 10
	// maxScanRows bounds the rows of a scan, so that rows of the maximum size fit
	// into one platform response (8 MiB, with values encoded in base64).
	maxScanRows = 256
	// maxDecompressedDeltaBytes bounds the memory that decompressing a delta uses.
	maxDecompressedDeltaBytes = 256 << 20
)

// deltaRow is the value of a row that contains a large delta.
type deltaRow struct {
	// Compressed is the delta as gzip-compressed JSON.
	Compressed []byte `json:"packed"`
}

// compressDelta returns the compressed form of a delta, or nil if the delta is
// smaller than maxInlineDeltaBytes.
func compressDelta(d rules.Delta) ([]byte, error) {
	text, err := json.Marshal(d)
	if err != nil || len(text) < maxInlineDeltaBytes {
		return nil, err
	}
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	if _, err := w.Write(text); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return compressed.Bytes(), nil
}

func decompressDelta(compressed []byte) (rules.Delta, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return rules.Delta{}, err
	}
	text, err := io.ReadAll(io.LimitReader(r, maxDecompressedDeltaBytes))
	if err != nil {
		return rules.Delta{}, err
	}
	var d rules.Delta
	err = json.Unmarshal(text, &d)
	return d, err
}

// decodeRow decodes the JSON value of a row. It fails with ErrCorruptLog.
func decodeRow(row platform.Row, value any) error {
	if err := json.Unmarshal(row.Value, value); err != nil {
		return errors.Wrapf(ErrCorruptLog, "row %s: %v", row.Key, err)
	}
	return nil
}

// jsonPut returns the put operation that writes a value as JSON.
func jsonPut(key string, value any) (platform.Put, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return platform.Put{}, errors.Wrapf(err, "encode row %s", key)
	}
	return platform.Put{Key: key, Value: text}, nil
}
