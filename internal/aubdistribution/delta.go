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
	c := composer{lastSet: make(map[aubapi.ObjectID]int), lastRemoved: make(map[aubapi.ObjectID]int)}
	for i, change := range changes {
		c.add(i, change)
	}
	return c.combine(changes)
}

// composer holds, for each object, the index of the last change that set or removed
// it. Each object is in one of the two maps.
type composer struct {
	lastSet     map[aubapi.ObjectID]int
	lastRemoved map[aubapi.ObjectID]int
}

// add adds the change with the given index.
func (c composer) add(i int, change aubquery.Change) {
	for _, id := range change.Remove {
		c.lastRemoved[id] = i
		delete(c.lastSet, id)
	}
	for id := range setIDs(change.Objects) {
		c.lastSet[id] = i
		delete(c.lastRemoved, id)
	}
}

// combine returns the combined change.
func (c composer) combine(changes []aubquery.Change) aubquery.Change {
	var merged aubquery.Change
	for i, change := range changes {
		objects := change.Objects
		target := &merged.Objects
		target.Version = objects.Version
		target.Workspaces = appendLast(c, i, aubapi.KindWorkspace, target.Workspaces, objects.Workspaces, func(w aubapi.Workspace) string { return w.Name })
		target.Keys = appendLast(c, i, aubapi.KindKey, target.Keys, objects.Keys, func(k aubapi.Key) string { return k.Name })
		target.Models = appendLast(c, i, aubapi.KindModel, target.Models, objects.Models, func(m aubapi.Model) string { return m.Name })
		target.Adapters = appendLast(c, i, aubapi.KindAdapter, target.Adapters, objects.Adapters, func(a aubapi.Adapter) string { return a.Name })
		target.Routes = appendLast(c, i, aubapi.KindRoute, target.Routes, objects.Routes, func(r aubapi.Route) string { return r.Name })
		for _, id := range change.Remove {
			if at, ok := c.lastRemoved[id]; ok && at == i {
				merged.Remove = append(merged.Remove, id)
			}
		}
	}
	return merged
}

// appendLast appends those objects of change i that no later change sets or removes.
func appendLast[T any](c composer, i int, kind aubapi.Kind, merged, objects []T, name func(T) string) []T {
	for _, o := range objects {
		if at, ok := c.lastSet[aubapi.ObjectID{Kind: kind, Name: name(o)}]; ok && at == i {
			merged = append(merged, o)
		}
	}
	return merged
}

// setIDs returns the IDs of all objects that a change sets.
func setIDs(objects aubquery.ConfigObjects) map[aubapi.ObjectID]struct{} {
	ids := make(map[aubapi.ObjectID]struct{})
	addIDs(ids, aubapi.KindWorkspace, objects.Workspaces, func(w aubapi.Workspace) string { return w.Name })
	addIDs(ids, aubapi.KindKey, objects.Keys, func(k aubapi.Key) string { return k.Name })
	addIDs(ids, aubapi.KindModel, objects.Models, func(m aubapi.Model) string { return m.Name })
	addIDs(ids, aubapi.KindAdapter, objects.Adapters, func(a aubapi.Adapter) string { return a.Name })
	addIDs(ids, aubapi.KindRoute, objects.Routes, func(r aubapi.Route) string { return r.Name })
	return ids
}

// addIDs adds the IDs of objects of one kind.
func addIDs[T any](ids map[aubapi.ObjectID]struct{}, kind aubapi.Kind, objects []T, name func(T) string) {
	for _, o := range objects {
		ids[aubapi.ObjectID{Kind: kind, Name: name(o)}] = struct{}{}
	}
}

// updateBuilder builds the messages that update followers to the current version. The
// last message is reused for all followers at the same version.
type updateBuilder struct {
	table Table

	mu sync.Mutex
	// The message built last updates a follower from fromVersion to toVersion.
	fromVersion uint64
	toVersion   uint64
	message     *aubwire.WatchResponse
}

// messageSince returns the message that updates a follower from the given version to
// the current one, and the current version. The message is nil if there is no newer
// version, and a full state if the table no longer has all changes in between.
func (u *updateBuilder) messageSince(version uint64) (*aubwire.WatchResponse, uint64) {
	cfg, changes, hasChanges := u.table.Since(version)
	if cfg.Version() <= version {
		return nil, version
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.message != nil && u.fromVersion == version && u.toVersion == cfg.Version() {
		return u.message, u.toVersion
	}
	u.fromVersion, u.toVersion = version, cfg.Version()
	if hasChanges {
		u.message = deltaMessage(version, cfg, compose(changes))
	} else {
		u.message = fullMessage(cfg)
	}
	return u.message, u.toVersion
}

// fullState returns a message with the full current state, and its version.
func (u *updateBuilder) fullState() (*aubwire.WatchResponse, uint64) {
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
