package aubstore

import (
	"bytes"

	"go.etcd.io/bbolt"
)

func write(tx *bbolt.Tx, u Update) error {
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
	}
	if err := removeEntries(log, u); err != nil {
		return err
	}
	for _, e := range u.Entries {
		if err := put(log, indexKey(e.GetIndex()), e); err != nil {
			return err
		}
	}
	return nil
}

func removeEntries(log *bbolt.Bucket, u Update) error {
	c := log.Cursor()
	if u.CompactTo > 0 {
		last := indexKey(u.CompactTo)
		for k, _ := c.First(); k != nil && bytes.Compare(k, last) <= 0; k, _ = c.First() {
			if err := c.Delete(); err != nil {
				return err
			}
		}
	}
	if u.TruncateFrom == 0 {
		return nil
	}
	first := indexKey(u.TruncateFrom)
	for k, _ := c.Seek(first); k != nil; k, _ = c.Seek(first) {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}
