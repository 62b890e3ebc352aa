// Package aubstore stores a control replica's durable state in one data folder:
// log entries, term and vote, the last snapshot and the identity of the disk.
// Every write is synced before it returns. After a failed write or sync the
// store refuses all further writes, because the content of the disk is unknown.
package aubstore

import (
	"errors"
	"sync"

	"github.com/google/uuid"
	"go.etcd.io/bbolt"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// State is the complete content of a store.
type State struct {
	// HardState is never nil.
	HardState *aubwire.HardState
	// Snapshot is nil until the member belongs to a cluster.
	Snapshot *aubwire.LogSnapshot
	// Entries are the log entries, contiguous by index.
	Entries []*aubwire.LogEntry
}

// Update is one atomic, synced change of the store. Old entries are removed before
// new ones are written.
type Update struct {
	// HardState replaces the term and vote unless it is nil.
	HardState *aubwire.HardState
	// Snapshot replaces the last snapshot unless it is nil.
	Snapshot *aubwire.LogSnapshot
	// CompactTo removes the entries up to and including this index; zero removes none.
	CompactTo uint64
	// TruncateFrom removes the entries from this index on; zero removes none.
	TruncateFrom uint64
	// Entries are the new log entries.
	Entries []*aubwire.LogEntry
}

// IsEmpty reports whether the update changes nothing.
func (u Update) IsEmpty() bool {
	return u.HardState == nil && u.Snapshot == nil && u.CompactTo == 0 &&
		u.TruncateFrom == 0 && len(u.Entries) == 0
}

// Opts configures a store.
type Opts struct {
	// DataDir is the data folder; it is created if it does not exist.
	DataDir string
	// Member is the name of the cluster member that the folder belongs to.
	Member string
	// MaxBytes limits the size of the database file; zero sets no limit.
	MaxBytes int
}

// Store is the durable state of one replica.
//
// Lock order: mu is taken alone.
type Store struct {
	common      aubcommon.Common
	db          *bbolt.DB
	identity    *aubwire.DiskIdentity
	loadedState State
	lock        *folderLock

	mu      sync.Mutex
	failure error
	summary *aubwire.StoreSummary
}

// Open opens or creates the store and verifies all its records. A damaged store
// counts as a lost disk: its file is renamed, and an empty store with a new disk
// identity replaces it.
func Open(common aubcommon.Common, opts Opts) (*Store, error) {
	common = common.WithPart("store")
	lock, err := lockFolder(opts.DataDir)
	if err != nil {
		return nil, err
	}
	s, err := openLocked(common, opts)
	if err != nil {
		lock.release()
		return nil, err
	}
	s.lock = lock
	return s, nil
}

// openLocked opens the store of a locked data folder and replaces a damaged one.
func openLocked(common aubcommon.Common, opts Opts) (*Store, error) {
	s, err := open(common, opts, false)
	var corruptErr *CorruptError
	if !errors.As(err, &corruptErr) {
		return s, err
	}
	common.Log.Error("Store is damaged; its file is renamed and the disk counts as lost.", zap.Error(err))
	if err := moveDamagedFile(opts.DataDir); err != nil {
		return nil, err
	}
	return open(common, opts, true)
}

func open(common aubcommon.Common, opts Opts, afterDamage bool) (*Store, error) {
	db, err := openDatabase(opts, syncFolder)
	if err != nil {
		return nil, err
	}
	s := &Store{common: common, db: db}
	if err := s.loadOrCreate(opts.Member, afterDamage); err != nil {
		_ = db.Close()
		return nil, err
	}
	return s, nil
}

// loadOrCreate reads the state of an existing store or creates the records of a new one.
func (s *Store) loadOrCreate(member string, afterDamage bool) error {
	var identity *aubwire.DiskIdentity
	err := recoverPageFault(func() error {
		return s.db.View(func(tx *bbolt.Tx) error {
			var err error
			identity, s.loadedState, err = readAll(tx)
			return err
		})
	})
	if err != nil {
		return err
	}
	s.summary = summarize(s.loadedState)
	if identity == nil {
		identity = &aubwire.DiskIdentity{Member: member, DiskId: uuid.NewString(), AfterDamage: afterDamage}
		if err := s.db.Update(func(tx *bbolt.Tx) error { return createRecords(tx, identity) }); err != nil {
			return &IOError{Op: "create", Err: err}
		}
	}
	if identity.GetMember() != member {
		return &IdentityError{Want: member, Have: identity.GetMember()}
	}
	s.identity = identity
	return nil
}

// DiskID returns the identity that the disk was given when the store was created.
func (s *Store) DiskID() string { return s.identity.GetDiskId() }

// AfterDamage reports whether the store replaced a damaged one when it was created.
func (s *Store) AfterDamage() bool { return s.identity.GetAfterDamage() }

// Load returns the state that was read when the store was opened. It may be called
// once, because the store then releases the state.
func (s *Store) Load() (State, error) {
	state := s.loadedState
	s.loadedState = State{}
	return state, nil
}

// Save applies the update and returns once it is synced. If it fails, every later
// call returns the same error.
func (s *Store) Save(u Update) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure != nil {
		return s.failure
	}
	newSummary := proto.CloneOf(s.summary)
	err := s.db.Update(func(tx *bbolt.Tx) error { return write(tx, u, newSummary) })
	if err == nil {
		s.summary = newSummary
		return nil
	}
	s.failure = &IOError{Op: "save", Err: err}
	s.common.Log.Error("Write or sync failed; the store refuses all further writes.", zap.Error(err))
	return s.failure
}

// LoadSnapshot returns the last snapshot, or nil if there is none.
func (s *Store) LoadSnapshot() (*aubwire.LogSnapshot, error) {
	var snap *aubwire.LogSnapshot
	err := recoverPageFault(func() error {
		return s.db.View(func(tx *bbolt.Tx) error {
			var err error
			snap, err = readSnapshot(tx)
			return err
		})
	})
	return snap, err
}

// Close closes the database and unlocks the data folder. Later saves fail.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure == nil {
		s.failure = &IOError{Op: "save", Err: errors.New("store is closed")}
	}
	err := s.db.Close()
	s.lock.release()
	return err
}
