package aubstore

import (
	"bytes"

	"go.etcd.io/bbolt"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// write applies the update and adjusts the summary in place.
func write(tx *bbolt.Tx, u Update, summary *aubwire.StoreSummary) error {
	meta := tx.Bucket(metaBucket)
	log := tx.Bucket(logBucket)
	if u.HardState != nil {
		if err := put(meta, hardStateKey, u.HardState); err != nil {
			return err
		}
	}
	if u.Snapshot != nil {
		if err := put(meta, snapshotKey, u.Snapshot); err != nil {
			return err
		}
		summary.HasSnapshot = true
		summary.SnapshotIndex = u.Snapshot.GetIndex()
	}
	removed, err := removeEntries(log, u)
	if err != nil {
		return err
	}
	summary.Entries += uint64(len(u.Entries)) - removed
	for _, e := range u.Entries {
		if err := put(log, indexKey(e.GetIndex()), e); err != nil {
			return err
		}
	}
	if err := updateLastEntry(log, summary); err != nil {
		return err
	}
	return put(meta, summaryKey, summary)
}

// updateLastEntry sets the summary's last index and term from the last log entry.
func updateLastEntry(log *bbolt.Bucket, summary *aubwire.StoreSummary) error {
	last := &aubwire.LogEntry{}
	if key, record := lastRecord(log); key != nil {
		if err := decode(key, record, last); err != nil {
			return err
		}
	}
	summary.LastIndex = last.GetIndex()
	summary.LastTerm = last.GetTerm()
	return nil
}

// removeEntries removes the entries that the update compacts or truncates and
// returns their number.
func removeEntries(log *bbolt.Bucket, u Update) (uint64, error) {
	removed := uint64(0)
	c := log.Cursor()
	if u.CompactTo > 0 {
		last := indexKey(u.CompactTo)
		for k, _ := c.First(); k != nil && bytes.Compare(k, last) <= 0; k, _ = c.First() {
			if err := c.Delete(); err != nil {
				return removed, err
			}
			removed++
		}
	}
	if u.TruncateFrom == 0 {
		return removed, nil
	}
	first := indexKey(u.TruncateFrom)
	for k, _ := c.Seek(first); k != nil; k, _ = c.Seek(first) {
		if err := c.Delete(); err != nil {
			return removed, err
		}
		removed++
	}
	return removed, nil
}

// lastRecord returns the last key and value of the bucket, or nil if it is empty.
// Cursor.Last alone does not terminate on a bucket of several leaf pages that the
// transaction has emptied, so the bucket is first checked for a first key.
func lastRecord(b *bbolt.Bucket) (key, value []byte) {
	c := b.Cursor()
	if first, _ := c.First(); first == nil {
		return nil, nil
	}
	return c.Last()
}
