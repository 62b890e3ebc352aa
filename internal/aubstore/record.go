package aubstore

import (
	"encoding/binary"
	"fmt"
	"runtime/debug"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	checksumBytes = 8
	indexBytes    = 8
)

var (
	metaBucket = []byte("meta")
	logBucket  = []byte("log")

	identityKey  = []byte("identity")
	hardStateKey = []byte("hard_state")
	snapshotKey  = []byte("snapshot")
	summaryKey   = []byte("summary")
)

// encode prepends a checksum over key and value to the value, so that a value
// stored under a wrong key is detected as damaged.
func encode(key []byte, m proto.Message) ([]byte, error) {
	body, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	record := make([]byte, checksumBytes, checksumBytes+len(body))
	binary.BigEndian.PutUint64(record, checksum(key, body))
	return append(record, body...), nil
}

// decode verifies a record's checksum and unmarshals its value into m.
func decode(key, record []byte, m proto.Message) error {
	if len(record) < checksumBytes {
		return &CorruptError{Detail: fmt.Sprintf("record %q is missing or truncated", key)}
	}
	body := record[checksumBytes:]
	if binary.BigEndian.Uint64(record) != checksum(key, body) {
		return &CorruptError{Detail: fmt.Sprintf("record %q has a wrong checksum", key)}
	}
	if err := proto.Unmarshal(body, m); err != nil {
		return &CorruptError{Detail: fmt.Sprintf("record %q is not readable", key), Err: err}
	}
	return nil
}

func checksum(key, body []byte) uint64 {
	h := xxhash.New()
	_, _ = h.Write(key)
	_, _ = h.Write(body)
	return h.Sum64()
}

// indexKey returns the key of a log entry. It is big-endian, so that keys sort by index.
func indexKey(index uint64) []byte {
	return binary.BigEndian.AppendUint64(make([]byte, 0, indexBytes), index)
}

func put(b *bbolt.Bucket, key []byte, m proto.Message) error {
	record, err := encode(key, m)
	if err != nil {
		return err
	}
	return b.Put(key, record)
}

// createRecords creates the buckets and records of an empty store.
func createRecords(tx *bbolt.Tx, identity *aubwire.DiskIdentity) error {
	if _, err := tx.CreateBucketIfNotExists(logBucket); err != nil {
		return err
	}
	meta, err := tx.CreateBucketIfNotExists(metaBucket)
	if err != nil {
		return err
	}
	if err := put(meta, hardStateKey, &aubwire.HardState{}); err != nil {
		return err
	}
	if err := put(meta, summaryKey, &aubwire.StoreSummary{}); err != nil {
		return err
	}
	return put(meta, identityKey, identity)
}

// recoverPageFault calls read and returns a panic or memory fault on a damaged page
// as a CorruptError.
func recoverPageFault(read func() error) (err error) {
	old := debug.SetPanicOnFault(true)
	defer debug.SetPanicOnFault(old)
	defer func() {
		if r := recover(); r != nil {
			err = &CorruptError{Detail: fmt.Sprint(r)}
		}
	}()
	return read()
}
