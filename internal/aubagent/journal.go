package aubagent

import (
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/samber/oops"
)

const (
	journalFile = "orders.json"
	journalMode = 0o600
	dataDirMode = 0o700
)

// journalState is the content of the order journal, read by the next incarnation.
type journalState struct {
	Incarnation uint64 `json:"incarnation"`
	// Unsettled lists the items whose load order may still be executed.
	Unsettled []itemSpec `json:"unsettled"`
}

// orderJournal stores the unsettled load orders on disk. It is synced before a
// load order is sent. Without a path, nothing is stored.
type orderJournal struct{ path string }

// openOrderJournal reads the order journal in a data folder; dir is empty for no
// journal. It reports false if there is no readable journal, and nothing is known
// of the orders of earlier incarnations.
func openOrderJournal(dir string) (orderJournal, journalState, bool, error) {
	if dir == "" {
		return orderJournal{}, journalState{}, false, nil
	}
	errs := oops.In("agent").With("data_dir", dir)
	if err := os.MkdirAll(dir, dataDirMode); err != nil {
		return orderJournal{}, journalState{}, false, errs.Wrapf(err, "create the data folder")
	}
	j := orderJournal{path: filepath.Join(dir, journalFile)}
	data, err := os.ReadFile(j.path)
	if errors.Is(err, fs.ErrNotExist) {
		return j, journalState{}, false, nil
	}
	if err != nil {
		return orderJournal{}, journalState{}, false, errs.Wrapf(err, "read the order journal")
	}
	var state journalState
	if err := json.Unmarshal(data, &state); err != nil {
		// A corrupt journal is treated as a missing one.
		return j, journalState{}, false, nil //nolint:nilerr // the caller waits for the order lifetime instead
	}
	return j, state, true, nil
}

// write replaces the journal atomically and returns once it is on disk.
func (j orderJournal) write(state journalState) error {
	if j.path == "" {
		return nil
	}
	data, err := json.Marshal(state)
	if err != nil {
		return err
	}
	tempPath := j.path + ".next"
	if err := writeSynced(tempPath, data); err != nil {
		return err
	}
	if err := os.Rename(tempPath, j.path); err != nil {
		return err
	}
	return syncDir(filepath.Dir(j.path))
}

// writeSynced writes a file and syncs it to disk.
func writeSynced(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, journalMode)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	return errors.Join(err, file.Sync(), file.Close())
}

// syncDir syncs a directory, which makes a rename in it durable.
func syncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}
