package configstore

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/platform"
)

const (
	// partBytes is the size of a snapshot part before compression. A part must fit
	// into an object even if its content is incompressible.
	partBytes = 8 << 20
	// snapshotTimeout bounds the latency that a snapshot adds to a commit.
	snapshotTimeout = 10 * time.Second
	// snapshotRetryInterval is the number of versions after which a failed snapshot is
	// retried, so that an outage of the object store does not delay every commit.
	snapshotRetryInterval = 16
)

// errCorruptSnapshot means that the index or a part cannot be decoded, or that a
// part does not match its digest in the index.
var errCorruptSnapshot = errors.New("snapshot is corrupt")

// snapshotIndex is the content of the object that lists the parts of the latest
// snapshot.
type snapshotIndex struct {
	Version uint64 `json:"version"`
	// Generation is 0 or 1 and selects the object names of the parts. The object
	// store does not support deletion, so a new snapshot overwrites the parts of the
	// snapshot before the latest one.
	Generation int `json:"generation"`
	// Parts are the SHA-256 digests of the parts in hex. A mismatch shows that a
	// part was overwritten by a later snapshot.
	Parts []string `json:"parts"`
	// ReservedVersion is the version of the snapshot that is being written, or whose write
	// was interrupted; 0 means none. The reservation prevents concurrent writers from
	// overwriting each other's parts.
	ReservedVersion uint64 `json:"reserved,omitempty"`
}

// snapshotStore stores the latest snapshot of each log in the object store.
type snapshotStore struct {
	objects platform.Objects
}

func indexName(log logName) string {
	return string(log) + "/snapshot"
}

func partName(log logName, generation, part int) string {
	return fmt.Sprintf("%s/snapshot/%d/%06d", log, generation, part)
}

// readIndex returns the index of the latest snapshot and its entity tag.
func (s snapshotStore) readIndex(ctx context.Context, log logName) (snapshotIndex, string, error) {
	object, err := s.objects.Get(ctx, indexName(log))
	if err != nil {
		return snapshotIndex{}, "", err
	}
	var index snapshotIndex
	if err := json.Unmarshal(object.Body, &index); err != nil {
		return snapshotIndex{}, object.ETag, errors.Wrapf(errCorruptSnapshot, "%v", err)
	}
	return index, object.ETag, nil
}

// read returns the version and the lines of the latest snapshot. It retries once,
// because the snapshot may be replaced while its parts are read.
func (s snapshotStore) read(ctx context.Context, log logName) (version uint64, lines []byte, err error) {
	for range 2 {
		var index snapshotIndex
		if index, _, err = s.readIndex(ctx, log); err != nil {
			return 0, nil, err
		}
		if lines, err = s.readParts(ctx, log, index); err == nil {
			return index.Version, lines, nil
		}
	}
	return 0, nil, err
}

func (s snapshotStore) readParts(ctx context.Context, log logName, index snapshotIndex) ([]byte, error) {
	var lines bytes.Buffer
	for i, digest := range index.Parts {
		object, err := s.objects.Get(ctx, partName(log, index.Generation, i))
		if err != nil {
			return nil, err
		}
		if digestHex(object.Body) != digest {
			return nil, errors.Wrapf(errCorruptSnapshot, "part %d of version %d", i, index.Version)
		}
		r, err := gzip.NewReader(bytes.NewReader(object.Body))
		if err != nil {
			return nil, errors.Wrapf(errCorruptSnapshot, "%v", err)
		}
		if _, err := io.Copy(&lines, io.LimitReader(r, 2*partBytes)); err != nil {
			return nil, errors.Wrapf(errCorruptSnapshot, "%v", err)
		}
	}
	return lines.Bytes(), nil
}

// write stores a snapshot unless a snapshot of this or a later version exists, or
// another writer holds the reservation. A reservation expires after
// snapshotRetryInterval versions.
func (s snapshotStore) write(ctx context.Context, log logName, version uint64, lines []string) error {
	latest, etag, err := s.readIndex(ctx, log)
	if err != nil && !isUnusableSnapshot(err) {
		return err
	}
	if latest.Version >= version || latest.ReservedVersion > 0 && version < latest.ReservedVersion+snapshotRetryInterval {
		return nil
	}
	latest.ReservedVersion = version
	if etag, err = s.putIndex(ctx, log, latest, etag); err != nil {
		return err
	}
	index := snapshotIndex{Version: version, Generation: 1 - latest.Generation&1}
	for len(lines) > 0 {
		part, rest, err := compressPart(lines)
		if err != nil {
			return err
		}
		if err := s.overwrite(ctx, partName(log, index.Generation, len(index.Parts)), part); err != nil {
			return err
		}
		index.Parts = append(index.Parts, digestHex(part))
		lines = rest
	}
	_, err = s.putIndex(ctx, log, index, etag)
	return err
}

// putIndex replaces the index that has the entity tag and returns the new entity
// tag.
func (s snapshotStore) putIndex(ctx context.Context, log logName, index snapshotIndex, etag string) (string, error) {
	body, err := json.Marshal(index)
	if err != nil {
		return "", err
	}
	return s.objects.Put(ctx, indexName(log), body, etag)
}

// overwrite creates or replaces an object.
func (s snapshotStore) overwrite(ctx context.Context, name string, body []byte) error {
	object, err := s.objects.Get(ctx, name)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	_, err = s.objects.Put(ctx, name, body, object.ETag)
	return err
}

// compressPart compresses lines up to the size of one part and returns the
// remaining lines.
func compressPart(lines []string) (part []byte, rest []string, err error) {
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	size := 0
	for len(lines) > 0 && size < partBytes {
		n, err := io.WriteString(w, lines[0]+"\n")
		if err != nil {
			return nil, nil, err
		}
		size += n
		lines = lines[1:]
	}
	if err := w.Close(); err != nil {
		return nil, nil, err
	}
	return buf.Bytes(), lines, nil
}

func digestHex(body []byte) string {
	digest := sha256.Sum256(body)
	return hex.EncodeToString(digest[:])
}

// Snapshot writes the snapshots that are due. CommitConfig writes those of the
// configuration itself. Membership changes are latency-sensitive and write none;
// the control loop of a node calls Snapshot separately. Errors: platform errors,
// ErrCorruptLog.
func (s *Store) Snapshot(ctx context.Context) error {
	config, err := s.LoadConfig(ctx)
	if err != nil {
		return err
	}
	if err := s.snapshotIfDue(ctx, configLog, config.Version, config.lines); err != nil {
		return err
	}
	members, err := s.LoadMembers(ctx)
	if err != nil {
		return err
	}
	return s.snapshotIfDue(ctx, membersLog, members.Version, members.lines)
}

func (c *ConfigState) lines() ([]string, error) {
	return c.Config.Lines(), nil
}

// snapshotIfDue writes a snapshot if the latest one is at least SnapshotInterval
// versions old, and counts failures.
func (s *Store) snapshotIfDue(ctx context.Context, log logName, version uint64, lines func() ([]string, error)) error {
	latest, _, err := s.snapshots.readIndex(ctx, log)
	if err != nil && !isUnusableSnapshot(err) {
		s.failedSnapshots.Add(1)
		return err
	}
	if version < latest.Version+s.options.SnapshotInterval {
		return nil
	}
	text, err := lines()
	if err == nil {
		err = s.snapshots.write(ctx, log, version, text)
	}
	if err != nil {
		s.failedSnapshots.Add(1)
	}
	return err
}

// snapshotConfigIfDue writes a configuration snapshot after a commit if one is
// due. A failure is only counted, because the commit has already taken effect.
func (s *Store) snapshotConfigIfDue(ctx context.Context, version uint64) {
	state := s.config.Load()
	if version%min(snapshotRetryInterval, s.options.SnapshotInterval) != 0 || state == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), snapshotTimeout)
	defer cancel()
	_ = s.snapshotIfDue(ctx, configLog, state.Version, state.lines)
}
