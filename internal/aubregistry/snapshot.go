package aubregistry

import (
	"bytes"
	"cmp"
	"context"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// maxSnapshotBytes limits the file.
	maxSnapshotBytes = 256 << 10
	// snapshotHeader begins the file and names its format; a CRC-32C of the rest follows.
	snapshotHeader = "aubregistry1\n"
	// snapshotRetention is the age, from the newest message of a backend server, above which a
	// record of a snapshot is not used: a longer outage is no restart of everything, and more
	// addresses have changed hands by then.
	snapshotRetention = 20 * time.Second
	// maxClockStep is how far in the future a snapshot may lie. After a larger step of the clock
	// the ages of its records are not known.
	maxClockStep = time.Second
	// activationPollInterval is the time between two checks whether snapshots are on.
	activationPollInterval = 10 * time.Millisecond
)

// Activation is whether snapshots are on.
type Activation int

// Activations.
const (
	// ActivationUnknown: no configuration is confirmed yet.
	ActivationUnknown Activation = iota
	ActivationOff
	ActivationOn
)

// SnapshotOpts configures the snapshots of a registry.
type SnapshotOpts struct {
	Registry *Registry
	// Process is the name of this process. The snapshot of another one is not used.
	Process string
	// Path is that of the file. It is replaced by a rename.
	Path string
	// Interval is the time between two snapshots. A departure is written at once.
	Interval time.Duration
	// Activation reports whether snapshots are on.
	Activation func() Activation
}

// snapshotWriter writes the snapshots of a registry. It is used by a single goroutine.
type snapshotWriter struct {
	common aubcommon.Common
	opts   SnapshotOpts
	// version and departures are those of the registry at the last write.
	version    uint64
	departures uint64
	hasFailed  bool
}

// KeepSnapshots uses the snapshot of an earlier run once snapshots are on, as unconfirmed records
// that expire unconfirmedLifetime after this call, and writes snapshots until ctx ends. The channel
// is closed once the last write has ended.
func KeepSnapshots(ctx context.Context, common aubcommon.Common, opts SnapshotOpts) <-chan struct{} {
	w := &snapshotWriter{common: common.WithPart("registry_snapshot"), opts: opts}
	opts.Registry.keepDepartures()
	startedAt := common.Timer.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		if !w.awaitActivation(ctx) {
			return
		}
		if opts.Activation() == ActivationOn {
			w.restore(startedAt.Add(unconfirmedLifetime))
		}
		w.run(ctx)
	}()
	return done
}

// awaitActivation waits until it is known whether snapshots are on. It returns false if ctx ends
// first.
func (w *snapshotWriter) awaitActivation(ctx context.Context) bool {
	if w.opts.Activation() != ActivationUnknown {
		return true
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticks := w.common.Timer.Subscribe(ctx, activationPollInterval)
	for w.opts.Activation() == ActivationUnknown {
		select {
		case <-ticks:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// run writes a snapshot each interval, and at once when a backend server departs.
func (w *snapshotWriter) run(ctx context.Context) {
	ticks := w.common.Timer.Subscribe(ctx, w.opts.Interval)
	isDue := false
	for {
		version, departures, departed := w.opts.Registry.departuresState()
		if w.opts.Activation() == ActivationOn && (departures != w.departures || isDue && version != w.version) {
			// The records may already include a later change, which is then written once more.
			w.write(w.opts.Registry.snapshotRecords())
			w.version, w.departures = version, departures
		}
		select {
		case <-departed:
			isDue = false
		case <-ticks:
			isDue = true
		case <-ctx.Done():
			return
		}
	}
}

// write replaces the file. A failure is logged once until a write succeeds.
func (w *snapshotWriter) write(records []*aubwire.SnapshotRecord) {
	data, left, err := encodeSnapshot(w.opts.Process, w.common.Timer.Now(), records)
	if err == nil {
		err = replaceFile(w.opts.Path, data)
	}
	if err != nil && !w.hasFailed {
		w.common.Log.Warn("Snapshot of the registry not written.", zap.Int("bytes", len(data)), zap.Error(err))
	}
	if left > 0 {
		w.common.Log.Warn("Snapshot of the registry leaves out records.", zap.Int("records", len(records)), zap.Int("left_out", left))
	}
	w.hasFailed = err != nil
	w.common.Metrics.Gauge("bytes").Update(float64(len(data)))
}

// replaceFile replaces the file by one with the data. Both the file and its folder are synced, because
// an outage of all instances is mostly a loss of power.
func replaceFile(path string, data []byte) error {
	temporary := path + ".tmp"
	file, err := os.OpenFile(temporary, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err = errors.Join(err, file.Sync(), file.Close()); err != nil {
		return err
	}
	if err := os.Rename(temporary, path); err != nil {
		return err
	}
	folder, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

// restore offers the records of the file until the time given. A file that is missing, damaged,
// too large or of another process changes nothing.
func (w *snapshotWriter) restore(until time.Time) {
	now := w.common.Timer.Now()
	if !now.Before(until) {
		w.common.Log.Info("Snapshot of the registry not used: its time is over.")
		return
	}
	snapshot, err := readSnapshot(w.opts.Path, w.opts.Process)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	if err != nil {
		w.common.Log.Warn("Snapshot of the registry ignored.", zap.Error(err))
		return
	}
	age := time.Duration(now.UnixMilli()-snapshot.GetSavedAtMs()) * time.Millisecond
	if age < -maxClockStep {
		w.common.Log.Warn("Snapshot of the registry ignored: it is from the future.", zap.Duration("ahead", -age))
		return
	}
	restored := w.opts.Registry.restore(snapshot.GetRecords(), max(age, 0), until)
	w.common.Log.Info("Snapshot of the registry used.",
		zap.Int("records", len(snapshot.GetRecords())), zap.Int("used", restored), zap.Int64("age_ms", age.Milliseconds()),
		zap.Int64("expires_ms", until.Sub(now).Milliseconds()))
}

// encodeSnapshot returns the content of the file and the number of records that don't fit into
// maxSnapshotBytes. The first records are kept.
func encodeSnapshot(process string, savedAt time.Time, records []*aubwire.SnapshotRecord) (data []byte, left int, err error) {
	snapshot := &aubwire.RegistrySnapshot{Process: process, SavedAtMs: savedAt.UnixMilli()}
	// Each record takes up to 6 bytes for its tag and length.
	const recordOverhead = 6
	size := len(snapshotHeader) + crc32.Size + proto.Size(snapshot)
	for i, record := range records {
		size += proto.Size(record) + recordOverhead
		if size > maxSnapshotBytes {
			left = len(records) - i
			break
		}
		snapshot.Records = append(snapshot.Records, record)
	}
	body, err := proto.Marshal(snapshot)
	if err != nil {
		return nil, left, err
	}
	data = binary.BigEndian.AppendUint32([]byte(snapshotHeader), crc32.Checksum(body, castagnoli))
	return append(data, body...), left, nil
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// readSnapshot reads the snapshot of the process. The error is *SnapshotError or that of the file.
func readSnapshot(path, process string) (*aubwire.RegistrySnapshot, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxSnapshotBytes {
		return nil, &SnapshotError{Reason: "is too large"}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	data, ok := bytes.CutPrefix(data, []byte(snapshotHeader))
	if !ok || len(data) < crc32.Size {
		return nil, &SnapshotError{Reason: "is of another format"}
	}
	body := data[crc32.Size:]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(data) {
		return nil, &SnapshotError{Reason: "is damaged"}
	}
	snapshot := &aubwire.RegistrySnapshot{}
	if err := proto.Unmarshal(body, snapshot); err != nil {
		return nil, &SnapshotError{Reason: "can't be decoded", Err: err}
	}
	if snapshot.GetProcess() != process {
		return nil, &SnapshotError{Reason: "is of process " + snapshot.GetProcess()}
	}
	return snapshot, nil
}

func (r *Registry) keepDepartures() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keepsDepartures = true
}

// departuresState returns the registry's version, the number of departures and a channel that is
// closed by the next departure.
func (r *Registry) departuresState() (version, departures uint64, departed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version, r.departures, r.departed
}

// snapshotRecords returns the records for a snapshot. Departures come first: without them
// the snapshot of another process could bring a departed backend server back. The most recently
// heard backend servers follow.
func (r *Registry) snapshotRecords() (records []*aubwire.SnapshotRecord) {
	now := r.common.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entries {
		if record := r.snapshotRecord(e, now); record != nil {
			records = append(records, record)
		}
	}
	slices.SortFunc(records, func(a, b *aubwire.SnapshotRecord) int {
		return cmp.Or(cmp.Compare(b.GetRecord().GetState(), a.GetRecord().GetState()), cmp.Compare(a.GetAgeMs(), b.GetAgeMs()), cmp.Compare(a.GetRecord().GetId(), b.GetRecord().GetId()))
	})
	return records
}

// snapshotRecord returns what a snapshot holds of the entry; nil for nothing. The caller holds mu.
func (r *Registry) snapshotRecord(e *entry, now time.Time) *aubwire.SnapshotRecord {
	if e.record.GetState() != aubwire.BackendState_BACKEND_STATE_READY {
		return &aubwire.SnapshotRecord{AgeMs: now.Sub(e.receivedAt).Milliseconds(), Record: &aubwire.BackendRecord{
			Id: e.record.GetId(), StartedMs: e.record.GetStartedMs(), Sequence: e.record.GetSequence(), State: e.record.GetState(),
			Service: e.record.GetService(), Address: e.record.GetAddress(), Zone: e.record.GetZone(),
		}}
	}
	if r.isLost(e) {
		return nil
	}
	heardAt := e.receivedAt
	if e.isUnconfirmed() {
		heardAt = e.heardAt
	}
	record := cloneRecord(e.agedRecord(now))
	record.UnconfirmedMs = 0
	return &aubwire.SnapshotRecord{Record: record, AgeMs: now.Sub(heardAt).Milliseconds()}
}

// restore merges the records of a snapshot of the age as unconfirmed ones that expire at until,
// and returns the number of those that were not too old.
func (r *Registry) restore(records []*aubwire.SnapshotRecord, age time.Duration, until time.Time) int {
	now := r.common.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	restored := 0
	for _, s := range records {
		heardAgo := age + time.Duration(s.GetAgeMs())*time.Millisecond
		isReady := s.GetRecord().GetState() == aubwire.BackendState_BACKEND_STATE_READY
		if s.GetRecord().GetId() == "" || isReady && heardAgo > snapshotRetention || heardAgo > recordRetention {
			continue
		}
		record := cloneRecord(s.GetRecord())
		record.ColdRemainingMs = max(record.GetColdRemainingMs()-age.Milliseconds(), 0)
		record.UnconfirmedMs = max(until.Sub(now).Milliseconds(), 1)
		r.applyUnconfirmed(record, true, now)
		if stored := r.entries[record.GetId()]; stored != nil && stored.record == record {
			stored.heardAt = now.Add(-heardAgo)
		}
		restored++
	}
	return restored
}
