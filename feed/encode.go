package feed

import (
	"errors"
	"fmt"
	"math/bits"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/internal/errs"
)

// errDamaged means that data from a peer does not match the value that it announced.
var errDamaged = errors.New("what a peer sent is not the value that it announced")

// dictionaryID identifies the base in an encoded difference. Both sides have agreed on the base
// before, so any number does.
const dictionaryID = 1

// encodedValue is a compressed value as it is sent to peers, whole or as the difference from an
// earlier value. A configuration of 4 MB takes 350 KB whole (15 ms to encode on one core) and 1.5
// KB if one route differs (43 ms).
type encodedValue struct {
	bytes      []byte
	sum        uint64 // of the bytes; identifies the encoding
	difference bool
}

// encodingCache caches the encodings of one record, so that each is made once for all peers.
type encodingCache struct {
	mu     sync.Mutex
	key    string
	at     hollowgrade.Position
	byBase map[uint64]encodedValue // by the checksum of the base, 0 for a whole value
}

// get returns the encoding of a record for a peer that has the base with this checksum, or for one
// that has none.
func (f *encodingCache) get(r hollowgrade.KeyedRecord, base []byte, sum uint64) (o encodedValue, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.key != r.Key || f.at != r.Position {
		f.key, f.at, f.byBase = r.Key, r.Position, map[uint64]encodedValue{}
	}
	if o, ok := f.byBase[sum]; ok {
		return o, nil
	}
	if o, err = encode(r.Value, base); err == nil {
		f.byBase[sum] = o
	}
	return o, err
}

// encode compresses a value, as the difference from a base if there is one.
func encode(value, base []byte) (o encodedValue, err error) {
	defer errs.Annotate(&err, "compress %d bytes", len(value))
	l := zstd.SpeedFastest
	os := []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true)}
	if len(base) > 0 {
		// The fastest level finds few matches in a base of several MB.
		l = zstd.SpeedDefault
		os = append(os, zstd.WithEncoderDictRaw(dictionaryID, base), zstd.WithWindowSize(window(len(value)+len(base))))
	}
	w, err := zstd.NewWriter(nil, append(os, zstd.WithEncoderLevel(l))...)
	if err != nil {
		return o, err
	}
	b := w.EncodeAll(value, nil)
	return encodedValue{bytes: b, sum: xxhash.Sum64(b), difference: len(base) > 0}, w.Close()
}

// window returns the smallest allowed window size that holds n bytes.
func window(n int) int {
	return max(zstd.MinWindowSize, min(1<<bits.Len(uint(n)), zstd.MaxWindowSize))
}

// decode reverses encode. The value must have the given size in bytes and checksum.
func decode(b, base []byte, size int, sum uint64) (value []byte, err error) {
	defer errs.Annotate(&err, "decompress %d bytes", len(b))
	os := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(uint64(size) + 1)}
	if len(base) > 0 {
		os = append(os, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	r, err := zstd.NewReader(nil, os...)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	if value, err = r.DecodeAll(b, make([]byte, 0, size)); err != nil {
		return nil, fmt.Errorf("%w: %w", errDamaged, err)
	}
	if len(value) != size || xxhash.Sum64(value) != sum {
		return nil, fmt.Errorf("%w: %d bytes where %d were announced, or another sum", errDamaged, len(value), size)
	}
	return value, nil
}
