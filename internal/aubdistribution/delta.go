package aubdistribution

import (
	"sync"

	"github.com/auburndale/auburndale/internal/aubstate/aubcodec"
	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
	"github.com/auburndale/auburndale/internal/aubwire"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// compose combines successive changes into one with the same result: of each object
// it has only the last state or removal.
func compose(changes []aubquery.Change) aubquery.Change {
	if len(changes) == 1 {
		return changes[0]
	}
	c := composer{last: make(map[aubapi.ObjectID]int), removed: make(map[aubapi.ObjectID]int)}
	for i, change := range changes {
		c.note(i, change)
	}
	return c.collect(changes)
}

// composer holds, for each object, the index of the last change that set or removed
// it. An object is in one of the maps only.
type composer struct {
	last    map[aubapi.ObjectID]int
	removed map[aubapi.ObjectID]int
}

// note adds the change with the given index.
func (c composer) note(i int, change aubquery.Change) {
	for _, id := range change.Remove {
		c.removed[id] = i
		delete(c.last, id)
	}
	for id := range setIDs(change.Objects) {
		c.last[id] = i
		delete(c.removed, id)
	}
}

// collect returns the combined change.
func (c composer) collect(changes []aubquery.Change) aubquery.Change {
	var merged aubquery.Change
	for i, change := range changes {
		o := change.Objects
		m := &merged.Objects
		m.Version = o.Version
		m.Workspaces = appendLast(c, i, aubapi.KindWorkspace, m.Workspaces, o.Workspaces, func(w aubapi.Workspace) string { return w.Name })
		m.Keys = appendLast(c, i, aubapi.KindKey, m.Keys, o.Keys, func(k aubapi.Key) string { return k.Name })
		m.Models = appendLast(c, i, aubapi.KindModel, m.Models, o.Models, func(m aubapi.Model) string { return m.Name })
		m.Adapters = appendLast(c, i, aubapi.KindAdapter, m.Adapters, o.Adapters, func(a aubapi.Adapter) string { return a.Name })
		m.Routes = appendLast(c, i, aubapi.KindRoute, m.Routes, o.Routes, func(r aubapi.Route) string { return r.Name })
		for _, id := range change.Remove {
			if at, ok := c.removed[id]; ok && at == i {
				merged.Remove = append(merged.Remove, id)
			}
		}
	}
	return merged
}

// appendLast appends those objects of change i that no later change sets or removes.
func appendLast[T any](c composer, i int, kind aubapi.Kind, merged, objects []T, name func(T) string) []T {
	for _, o := range objects {
		if at, ok := c.last[aubapi.ObjectID{Kind: kind, Name: name(o)}]; ok && at == i {
			merged = append(merged, o)
		}
	}
	return merged
}

// setIDs returns the IDs of all objects that a change sets.
func setIDs(o aubquery.ConfigOpts) map[aubapi.ObjectID]struct{} {
	ids := make(map[aubapi.ObjectID]struct{})
	addIDs(ids, aubapi.KindWorkspace, o.Workspaces, func(w aubapi.Workspace) string { return w.Name })
	addIDs(ids, aubapi.KindKey, o.Keys, func(k aubapi.Key) string { return k.Name })
	addIDs(ids, aubapi.KindModel, o.Models, func(m aubapi.Model) string { return m.Name })
	addIDs(ids, aubapi.KindAdapter, o.Adapters, func(a aubapi.Adapter) string { return a.Name })
	addIDs(ids, aubapi.KindRoute, o.Routes, func(r aubapi.Route) string { return r.Name })
	return ids
}

func addIDs[T any](ids map[aubapi.ObjectID]struct{}, kind aubapi.Kind, objects []T, name func(T) string) {
	for _, o := range objects {
		ids[aubapi.ObjectID{Kind: kind, Name: name(o)}] = struct{}{}
	}
}

// updates builds the messages that update followers to the current version. The last
// message is reused for all followers at the same version.
type updates struct {
	table Table

	mu sync.Mutex
	// from and to are the versions between which last leads.
	from uint64
	to   uint64
	last *aubwire.WatchResponse
}

// since returns the message that updates a follower from the given version to the
// current one, and the current version. The message is nil if there is no newer
// version, and a full state if the table no longer has all changes in between.
func (u *updates) since(version uint64) (*aubwire.WatchResponse, uint64) {
	cfg, changes, kept := u.table.Since(version)
	if cfg.Version() <= version {
		return nil, version
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.last != nil && u.from == version && u.to == cfg.Version() {
		return u.last, u.to
	}
	u.from, u.to = version, cfg.Version()
	if kept {
		u.last = deltaMessage(version, cfg, compose(changes))
	} else {
		u.last = fullMessage(cfg)
	}
	return u.last, u.to
}

// full returns a message with the full current state, and its version.
func (u *updates) full() (*aubwire.WatchResponse, uint64) {
	cfg := u.table.Config()
	return fullMessage(cfg), cfg.Version()
}

func fullMessage(cfg aubquery.Config) *aubwire.WatchResponse {
	return &aubwire.WatchResponse{Message: &aubwire.WatchResponse_Full{Full: encodeFull(cfg)}}
}

func deltaMessage(from uint64, cfg aubquery.Config, change aubquery.Change) *aubwire.WatchResponse {
	return &aubwire.WatchResponse{Message: &aubwire.WatchResponse_Delta{Delta: &aubwire.ConfigDelta{
		FromVersion: from,
		ToVersion:   cfg.Version(),
		Objects:     aubcodec.ObjectsToWire(change.Objects),
		Remove:      aubcodec.IDsToWire(change.Remove),
		Digest:      cfg.Digest().Bytes(),
	}}}
}
