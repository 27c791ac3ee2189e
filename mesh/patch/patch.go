// Package patch encodes a document as its differences from another one.
//
// A document is cut into chunks that end with a closing bracket or brace, so that the rows
// of a JSON table are chunks of their own. A patch copies runs of chunks from the base and
// contains the other bytes.
package patch

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"hash/crc32"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// MaxDocumentBytes is the maximum size of a decoded document.
	MaxDocumentBytes = 64 << 20
	// compressFrom is the size in bytes from which operations are compressed. Smaller ones
	// fit into a few packets.
	compressFrom = 4 << 10

	plain      byte = 0
	compressed byte = 1
)

// ErrMismatch means that a patch is malformed or was made for another base.
var ErrMismatch = errors.New("patch does not match its base")

// Encode returns a patch that turns base into target. An empty base gives a patch that
// contains the whole target.
func Encode(base, target []byte) []byte {
	ops := encodeOperations(base, target)
	out := binary.BigEndian.AppendUint32(nil, crc32.ChecksumIEEE(target))
	out = binary.AppendUvarint(out, uint64(len(target)))
	if len(ops) < compressFrom {
		return append(append(out, plain), ops...)
	}
	buffer := bytes.NewBuffer(append(out, compressed))
	w, _ := flate.NewWriter(buffer, flate.BestSpeed) // Fails only for an invalid level.
	_, _ = w.Write(ops)                              // A buffer accepts every write.
	_ = w.Close()
	return buffer.Bytes()
}

// encodeOperations returns pairs of a literal, with its length, and the offset and length
// of a range of base to copy after it.
func encodeOperations(base, target []byte) []byte {
	offsets := make(map[string]int)
	for offset, rest := 0, base; len(rest) > 0; {
		n := chunkLength(rest)
		if _, known := offsets[string(rest[:n])]; !known {
			offsets[string(rest[:n])] = offset
		}
		offset, rest = offset+n, rest[n:]
	}
	var out, literal []byte
	for rest := target; len(rest) > 0; {
		n := chunkLength(rest)
		offset, known := offsets[string(rest[:n])]
		if !known {
			literal, rest = append(literal, rest[:n]...), rest[n:]
			continue
		}
		n = commonPrefix(base[offset:], rest)
		out = appendOperation(out, literal, offset, n)
		literal, rest = literal[:0], rest[n:]
	}
	return appendOperation(out, literal, 0, 0)
}

func appendOperation(out, literal []byte, offset, n int) []byte {
	out = binary.AppendUvarint(out, uint64(len(literal)))
	out = append(out, literal...)
	out = binary.AppendUvarint(out, uint64(offset))
	return binary.AppendUvarint(out, uint64(n))
}

// chunkLength returns the length of the first chunk of text.
func chunkLength(text []byte) int {
	if i := bytes.IndexAny(text, "]}"); i >= 0 {
		return i + 1
	}
	return len(text)
}

func commonPrefix(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// Decode applies a patch to the base for which it was made. It returns ErrMismatch if the
// result is not the document that was encoded.
func Decode(base, patch []byte) ([]byte, error) {
	if len(patch) < crc32.Size {
		return nil, errors.Wrap(ErrMismatch, "truncated")
	}
	sum := binary.BigEndian.Uint32(patch)
	size, n := binary.Uvarint(patch[crc32.Size:])
	if n <= 0 || size > MaxDocumentBytes || len(patch) <= crc32.Size+n {
		return nil, errors.Wrap(ErrMismatch, "malformed header")
	}
	format, ops := patch[crc32.Size+n], patch[crc32.Size+n+1:]
	if format == compressed {
		var err error
		// Literals and operations of a valid patch are at most as long as the document and
		// its chunks, each of which needs at most three numbers.
		limit := (binary.MaxVarintLen64*3 + 1) * (int64(size) + 1)
		if ops, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(ops)), limit)); err != nil {
			return nil, errors.Wrapf(ErrMismatch, "decompress: %v", err)
		}
	}
	out, err := applyOperations(base, ops, int(size))
	if err != nil {
		return nil, err
	}
	if len(out) != int(size) || crc32.ChecksumIEEE(out) != sum {
		return nil, errors.Wrap(ErrMismatch, "checksum")
	}
	return out, nil
}

func applyOperations(base, ops []byte, size int) ([]byte, error) {
	out := make([]byte, 0, min(size, len(base)+len(ops)))
	next := func() int {
		v, n := binary.Uvarint(ops)
		if n <= 0 || v > MaxDocumentBytes {
			ops = nil
			return -1
		}
		ops = ops[n:]
		return int(v)
	}
	for len(ops) > 0 {
		literal := next()
		if literal < 0 || literal > len(ops) {
			return nil, errors.Wrap(ErrMismatch, "malformed literal")
		}
		out, ops = append(out, ops[:literal]...), ops[literal:]
		offset, n := next(), next()
		if offset < 0 || n < 0 || offset+n > len(base) || len(out)+n > size {
			return nil, errors.Wrap(ErrMismatch, "malformed copy")
		}
		out = append(out, base[offset:offset+n]...)
	}
	return out, nil
}
